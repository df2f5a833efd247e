//! Draws the results of an experiment as bar charts: a group per scenario and a bar per policy.

use crate::error::LoadError;
use crate::experiment::PolicySummary;
use plotters::prelude::*;
use std::path::Path;

const SIZE_PX: (u32, u32) = (960, 420);
const LABEL_AREA_PX: u32 = 70;
const BAR_WIDTH: f64 = 0.25;
const COLORS: [RGBColor; 3] =
    [RGBColor(150, 150, 150), RGBColor(230, 140, 50), RGBColor(40, 110, 190)];

/// Returns the figure of a summary that a plot shows.
type Figure = fn(&PolicySummary) -> f64;

/// The plots of every user: file name without user and extension, title, figure.
const PLOTS: [(&str, &str, Figure); 4] = [
    ("recomputed", "prompt tokens recomputed", |summary| summary.recomputed_tokens.mean),
    ("counter-p95", "counter calls: first token p95, ms", |summary| first_token_p95(summary, true)),
    ("deferrable-p95", "deferrable calls: first token p95, ms", |summary| {
        first_token_p95(summary, false)
    }),
    ("cost", "millicents per 1,000 tokens on target", |summary| {
        summary.cost_millicents_per_1000_tokens.mean
    }),
];

fn first_token_p95(summary: &PolicySummary, counter: bool) -> f64 {
    let class = summary.classes.iter().find(|class| (class.class == "counter") == counter);
    class.map_or(0.0, |class| class.first_token_p95_ms.mean)
}

/// Draws all plots of all users into a folder as SVG files.
pub(crate) fn draw_plots(summaries: &[PolicySummary], folder: &Path) -> Result<(), LoadError> {
    let users = distinct(summaries.iter().map(|summary| summary.user.as_str()));
    for user in users {
        let of_user: Vec<&PolicySummary> =
            summaries.iter().filter(|summary| summary.user == user).collect();
        for (name, title, figure) in PLOTS {
            let path = folder.join(format!("{user}-{name}.svg"));
            draw(&path, &format!("{user}: {title}"), &of_user, figure).map_err(|error| {
                LoadError::Plot { path: path.display().to_string(), message: error.to_string() }
            })?;
        }
    }
    Ok(())
}

fn draw(
    path: &Path,
    title: &str,
    summaries: &[&PolicySummary],
    figure: Figure,
) -> Result<(), Box<dyn std::error::Error>> {
    let scenarios = distinct(summaries.iter().map(|summary| summary.scenario.as_str()));
    let labels = distinct(summaries.iter().map(|summary| summary.label.as_str()));
    let max_figure = summaries.iter().map(|summary| figure(summary)).fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..scenarios.len() as f64, 0.0..max_figure * 1.1)?;
    chart.configure_mesh().disable_x_mesh().disable_x_axis().y_labels(6).draw()?;
    for (index, scenario) in scenarios.iter().enumerate() {
        let position = (index as f64 + 0.08, max_figure * 1.08);
        let name = Text::new((*scenario).to_string(), position, ("sans-serif", 13));
        chart.draw_series(std::iter::once(name))?;
    }
    for (number, label) in labels.iter().enumerate() {
        let color = COLORS[number % COLORS.len()];
        let bars = summaries.iter().filter(|summary| summary.label == *label).map(|summary| {
            let index = scenarios.iter().position(|name| *name == summary.scenario);
            let left = index.unwrap_or_default() as f64 + 0.1 + number as f64 * BAR_WIDTH;
            let right = left + BAR_WIDTH * 0.9;
            Rectangle::new([(left, 0.0), (right, figure(summary))], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(*label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Returns the distinct names in the order in which they first occur.
fn distinct<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut distinct = Vec::new();
    for name in names {
        if !distinct.contains(&name) {
            distinct.push(name);
        }
    }
    distinct
}
