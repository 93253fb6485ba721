//! What came of a replay.

use std::path::Path;

use plotters::prelude::*;

use crate::decide::load::Arrival;
use crate::decide::load::LoadFile;
use crate::decide::policy::Policy;

/// The length of a window.
const WINDOW_MS: f64 = 2_000.0;

/// The size of the chart in pixels.
const SIZE: (u32, u32) = (900, 420);

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Answer {
    /// Its first event came at this moment.
    Begun(f64),
    /// None came, or its engine crashed in the middle.
    Failed,
}

/// What is counted while a replay runs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    /// Shared tokens that were read though an engine had read them before.
    pub(crate) tokens_read_again: u64,
    /// How often a load of weights threw back a request that waited.
    pub(crate) thrown_back: u64,
}

/// What came of a replay.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The share of requests whose first event came in time.
    pub in_time: f64,
    /// The share of requests that failed.
    pub failed: f64,
    /// The share in time of each window.
    pub windows: Vec<f64>,
    /// The median time to the first event.
    pub p50_ms: f64,
    /// The time to the first event that one in a hundred exceeds.
    pub p99_ms: f64,
    /// Shared tokens that were read though an engine had read them before.
    pub tokens_read_again: u64,
    /// How often a load of weights threw back a request that waited.
    pub thrown_back: u64,
}

impl Report {
    pub(crate) fn new(
        load: &LoadFile,
        arrivals: &[Arrival],
        answers: &[Answer],
        counts: Counts,
    ) -> Self {
        let count = (load.duration_s as f64 * 1_000.0 / WINDOW_MS).ceil() as usize;
        let mut asked = vec![0.0; count];
        let mut in_time = vec![0.0; count];
        let mut times = Vec::new();
        for (arrival, answer) in arrivals.iter().zip(answers) {
            let window = (arrival.at_ms / WINDOW_MS) as usize;
            asked[window] += 1.0;
            let Answer::Begun(at_ms) = answer else { continue };
            let took_ms = at_ms - arrival.at_ms;
            times.push(took_ms);
            if took_ms <= load.requests[arrival.kind].target_ms as f64 {
                in_time[window] += 1.0;
            }
        }
        times.sort_by(f64::total_cmp);
        let quantile = |part: f64| {
            let at = (times.len() as f64 * part) as usize;
            times.get(at).copied().unwrap_or_default()
        };
        let total: f64 = arrivals.len() as f64;
        Self {
            in_time: in_time.iter().sum::<f64>() / total,
            failed: 1.0 - times.len() as f64 / total,
            windows: in_time
                .iter()
                .zip(&asked)
                .map(|(n, of): (&f64, &f64)| n / of.max(1.0))
                .collect(),
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            tokens_read_again: counts.tokens_read_again,
            thrown_back: counts.thrown_back,
        }
    }

    /// Returns the share in time of the two worst windows.
    pub fn worst_windows(&self) -> f64 {
        let mut windows = self.windows.clone();
        windows.sort_by(f64::total_cmp);
        windows.iter().take(2).sum::<f64>() / 2.0
    }
}

/// Lays the reports out as a table.
pub(crate) fn table(reports: &[(Policy, Report)]) -> String {
    let mut text = format!(
        "{:<34}{:>8}{:>8}{:>8}{:>9}{:>9}{:>13}{:>13}\n",
        "policy",
        "in time",
        "worst",
        "failed",
        "p50 ms",
        "p99 ms",
        "read again",
        "thrown back"
    );
    for (policy, report) in reports {
        text.push_str(&format!(
            "{:<34}{:>8.3}{:>8.3}{:>8.3}{:>9.0}{:>9.0}{:>13}{:>13}\n",
            policy.to_string(),
            report.in_time,
            report.worst_windows(),
            report.failed,
            report.p50_ms,
            report.p99_ms,
            report.tokens_read_again,
            report.thrown_back,
        ));
    }
    text.push_str("\nshare in time by window of 2 s\n");
    for (policy, report) in reports {
        let windows: Vec<String> =
            report.windows.iter().map(|share| format!("{share:.2}")).collect();
        text.push_str(&format!("{:<34}{}\n", policy.to_string(), windows.join(" ")));
    }
    text
}

/// Draws the share served in time by window.
pub(crate) fn plot(file: &Path, reports: &[(Policy, Report)]) -> Result<(), String> {
    draw(file, reports).map_err(|error| format!("{}: {error}", file.display()))
}

fn draw(
    file: &Path,
    reports: &[(Policy, Report)],
) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = reports.first().map_or(1, |(_, report)| report.windows.len()) as f64
        * WINDOW_MS
        / 1_000.0;
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds, 0.0..1.0)?;
    chart.configure_mesh().x_desc("seconds").y_desc("share in time").draw()?;
    for (number, (policy, report)) in reports.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = report.windows.iter().enumerate();
        let points = points.map(|(at, share)| (at as f64 * WINDOW_MS / 1_000.0, *share));
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(policy.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
