//! An HTML page with the figures and plots of one or several runs, side by side.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::Range;

use derive_more::{Display, Error, From};
use plotters::prelude::*;

use crate::engine::Micros;
use crate::figures::Latencies;
use crate::run_file::{Run, Sample};

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (560, 320);
const MICROS_PER_MS: f64 = 1_000.0;
const MICROS_PER_SECOND: Micros = 1_000_000;
/// Number of halvings of the tail up to which quantiles are plotted: 0.5, 0.75, 0.875 and so on.
const HALVINGS: i32 = 10;
/// Quantiles in the table.
const TABLE_QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Upper end of the y axis, as a multiple of the maximum latency.
const Y_AXIS_MARGIN_FACTOR: f64 = 1.1;

/// Drawing a plot failed.
#[derive(Debug, Display, Error, From)]
#[display("plot: {reason}")]
pub struct PlotError {
    reason: String,
}

/// Renders the page, with one column for each run.
pub fn page(runs: &[Run]) -> Result<String, PlotError> {
    let max_latency = runs
        .iter()
        .flat_map(|run| &run.samples)
        .filter_map(|sample| sample.latency)
        .max();
    let max_latency_ms =
        (max_latency.unwrap_or(0) as f64 / MICROS_PER_MS).max(1.0) * Y_AXIS_MARGIN_FACTOR;
    let mut columns = String::new();
    for run in runs {
        columns.push_str(&column(run, max_latency_ms)?);
    }
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load report</title>\n\
         <style>body {{ font-family: sans-serif }} main {{ display: flex; gap: 2em; flex-wrap: wrap }}\n\
         td, th {{ text-align: right; padding: 0 0.6em }}</style></head>\n\
         <body><h1>Load report</h1>\n<p>Latency is measured from when a request was due to its first event, or to the \
         end of a plain response, so that a stall can't hide the requests that it delayed.</p>\n\
         <main>{columns}</main></body></html>\n"
    ))
}

fn column(run: &Run, max_latency_ms: f64) -> Result<String, PlotError> {
    let quantiles = quantile_plot(run, max_latency_ms)?;
    let seconds = time_series_plot(run, max_latency_ms)?;
    Ok(format!(
        "<section><h2>{}</h2>\n{}{quantiles}\n{seconds}</section>\n",
        escape_html(&run.title),
        table(run)
    ))
}

fn table(run: &Run) -> String {
    let headers: String = TABLE_QUANTILES
        .iter()
        .map(|quantile| format!("<th>p{}, ms</th>", quantile * 100.0))
        .collect();
    let mut table =
        format!("<table><tr><th>kind</th><th>requests</th><th>served</th>{headers}</tr>\n");
    for (kind, samples) in by_kind(&run.samples) {
        let served = samples
            .iter()
            .filter(|sample| sample.latency.is_some())
            .count();
        let latencies = latencies_of(samples.iter().copied());
        let cells: String = TABLE_QUANTILES
            .iter()
            .map(|quantile| format!("<td>{:.1}</td>", latencies.quantile_ms(*quantile)))
            .collect();
        // Writing to a string can't fail.
        let _ = writeln!(
            table,
            "<tr><th>{}</th><td>{}</td><td>{served}</td>{cells}</tr>",
            escape_html(kind),
            samples.len()
        );
    }
    table.push_str("</table>\n");
    table
}

/// Plots latency by quantile, with the tail stretched by a logarithmic axis.
fn quantile_plot(run: &Run, max_latency_ms: f64) -> Result<String, PlotError> {
    let lines = by_kind(&run.samples).into_iter().map(|(kind, samples)| {
        let latencies = latencies_of(samples.iter().copied());
        let point = |halvings: i32| {
            let quantile = 1.0 - 0.5_f64.powi(halvings);
            (f64::from(halvings), latencies.quantile_ms(quantile))
        };
        Line {
            name: kind.to_owned(),
            points: (0..=HALVINGS).map(point).collect(),
        }
    });
    let axes = Axes {
        title: "latency, ms, by share served",
        x: 0.0..f64::from(HALVINGS),
        y: 0.0..max_latency_ms,
    };
    plot(
        &axes,
        "1 - 1/2^x of the requests",
        &lines.collect::<Vec<Line>>(),
    )
}

/// Plots the median and the 99th percentile of latency by the second in which requests were due.
fn time_series_plot(run: &Run, max_latency_ms: f64) -> Result<String, PlotError> {
    let mut seconds: BTreeMap<Micros, Vec<&Sample>> = BTreeMap::new();
    for sample in &run.samples {
        seconds
            .entry(sample.due / MICROS_PER_SECOND)
            .or_default()
            .push(sample);
    }
    let line = |name: &str, quantile: f64| Line {
        name: name.to_owned(),
        points: seconds
            .iter()
            .map(|(second, samples)| {
                (
                    *second as f64,
                    latencies_of(samples.iter().copied()).quantile_ms(quantile),
                )
            })
            .collect(),
    };
    let last = seconds.keys().last().copied().unwrap_or(0).max(1) as f64;
    let axes = Axes {
        title: "latency, ms, by second",
        x: 0.0..last,
        y: 0.0..max_latency_ms,
    };
    plot(
        &axes,
        "second in which requests were due",
        &[line("median", 0.5), line("99 in 100", 0.99)],
    )
}

struct Axes {
    title: &'static str,
    x: Range<f64>,
    y: Range<f64>,
}

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

fn plot(axes: &Axes, x_label: &str, lines: &[Line]) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(&mut svg, axes, x_label, lines).map_err(|error| PlotError {
        reason: error.to_string(),
    })?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    axes: &Axes,
    x_label: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    const LABEL_AREA: u32 = 45;
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&root)
        .caption(axes.title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(axes.x.clone(), axes.y.clone())?;
    chart.configure_mesh().x_desc(x_label).draw()?;
    for (number, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}

fn by_kind(samples: &[Sample]) -> BTreeMap<&str, Vec<&Sample>> {
    let mut kinds: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        kinds.entry(&sample.kind).or_default().push(sample);
    }
    kinds
}

fn latencies_of<'a>(samples: impl Iterator<Item = &'a Sample>) -> Latencies {
    let mut latencies = Latencies::default();
    samples
        .filter_map(|sample| sample.latency)
        .for_each(|latency| latencies.add(latency));
    latencies
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
