//! The report as text for a terminal.

use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};

use super::{QUANTILES, Quantiles, Report};

/// Renders the table of latencies, followed by a line for each other result.
pub fn render(report: &Report) -> String {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED);
    let mut header = vec!["time in ms".to_owned(), "count".to_owned()];
    header.extend(QUANTILES.iter().map(|(name, _)| (*name).to_owned()));
    table.set_header(header);
    table.add_row(row("latency from scheduled arrival", &report.latency));
    table.add_row(row("service time from sending", &report.service));
    if let Some(direct) = &report.direct {
        table.add_row(row("direct call", direct));
    }
    let mut text = table.to_string();
    for (name, value) in summary_lines(report) {
        text.push_str(&format!("\n{name:<22} {value}"));
    }
    text
}

fn summary_lines(report: &Report) -> Vec<(&'static str, String)> {
    let mut lines = vec![
        ("requests", report.sent_count.to_string()),
        (
            "complete answers",
            report.outcomes.complete_count.to_string(),
        ),
        ("partial answers", report.outcomes.partial_count.to_string()),
        ("failed", report.outcomes.failed_count.to_string()),
        (
            "mismatched results",
            report.outcomes.mixed_up_count.to_string(),
        ),
        (
            "inconsistent coverage",
            report.outcomes.untrue_count.to_string(),
        ),
        ("coverage", format!("{:.4}", report.coverage_ratio)),
        ("extra load", format!("{:.4}", report.extra_load_ratio)),
    ];
    for (reason, count) in &report.outcomes.refusals {
        lines.push(("refused", format!("{count} ({reason})")));
    }
    for (reason, count) in &report.outcomes.unknowns {
        lines.push(("outcome unknown", format!("{count} ({reason})")));
    }
    lines
}

fn row(name: &str, quantiles: &Quantiles) -> Vec<String> {
    let mut cells = vec![name.to_owned(), quantiles.count.to_string()];
    cells.extend(QUANTILES.iter().map(|(name, _)| {
        let micros = quantiles.quantiles_us.get(name).copied().unwrap_or(0);
        format!("{:.2}", micros as f64 / 1000.0)
    }));
    cells
}
