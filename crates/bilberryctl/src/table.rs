//! Formatting of text tables.

/// Formats rows in columns that are as wide as their widest cell.
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<_> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| {
            let gap = width - cell.chars().count();
            format!("{cell}{}", " ".repeat(gap))
        });
        let text = padded.collect::<Vec<_>>().join("  ");
        format!("{}\n", text.trim_end())
    };
    let mut text = line(head.to_vec());
    for row in rows {
        text.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    text
}
