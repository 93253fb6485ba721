//! A chart of the policies.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use crate::Measured;

/// The size of the chart in pixels.
const SIZE: (u32, u32) = (900, 520);

/// Draws hit ratio against the tail of the time to the first token.
pub fn plot(
    file: &Path,
    shape: &str,
    results: &BTreeMap<&'static str, Measured>,
) -> Result<(), String> {
    draw(file, shape, results).map_err(|error| error.to_string())
}

fn draw(
    file: &Path,
    shape: &str,
    results: &BTreeMap<&'static str, Measured>,
) -> Result<(), Box<dyn std::error::Error>> {
    let slowest = results.values().map(|found| found.ttft_p99_ms).fold(1.0, f64::max);
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let caption = format!("{shape}: hit ratio against p99 time to first token");
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 20))
        .margin(16)
        .x_label_area_size(44)
        .y_label_area_size(56)
        .build_cartesian_2d((1.0..slowest * 2.0).log_scale(), 0.0..1.0)?;
    chart.configure_mesh().x_desc("p99 in ms").y_desc("hit ratio").draw()?;
    for (policy, found) in results {
        let at = (found.ttft_p99_ms.max(1.0), found.hit_ratio);
        let label = EmptyElement::at(at)
            + Circle::new((0, 0), 5, BLUE.filled())
            + Text::new(policy.to_string(), (8, -6), ("sans-serif", 15));
        chart.draw_series([label])?;
    }
    root.present()?;
    Ok(())
}
