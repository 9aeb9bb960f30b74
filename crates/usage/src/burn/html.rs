//! Renders the report as a self-contained HTML page.

use std::error;
use std::fmt::{self, Write as _};

use plotters::prelude::*;

use crate::burn::report;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 240);

/// Failure to render a service's section.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("plot of service {service} could not be rendered: {reason}")]
pub struct Error {
    /// Service of the section.
    pub service: String,
    /// Error of the renderer.
    pub reason: String,
}

const STYLE: &str = "body{font:14px sans-serif;margin:2em;max-width:60em}\
table{border-collapse:collapse;margin:1em 0}\
td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}\
td:first-child,th:first-child{text-align:left}\
.over{background:#fdd}";

/// Renders the page.
///
/// # Errors
///
/// Returns an error if a plot cannot be rendered.
pub fn render(report: &report::Report) -> Result<String, Error> {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<p>At {} seconds since the Unix epoch. A burn of 1 spends \
         exactly the error budget; a higher burn spends it faster.</p>\n",
        report.seconds
    );
    for service in &report.services {
        page.push_str(&render_section(service)?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn render_section(service: &report::Service) -> Result<String, Error> {
    let error = |reason: &dyn error::Error| Error {
        service: service.name.to_string(),
        reason: reason.to_string(),
    };
    let plot = render_plot(service).map_err(|e| error(e.as_ref()))?;
    let mut html = String::new();
    write_tables(&mut html, service).map_err(|e| error(&e))?;
    html.push_str(&plot);
    Ok(html)
}

fn write_tables(html: &mut String, service: &report::Service) -> fmt::Result {
    let objective = &service.objective;
    writeln!(html, "<h2>{}</h2>", service.name)?;
    writeln!(
        html,
        "<p>Objective: {} available and {} within {}.</p>",
        objective.availability, objective.fast, objective.latency
    )?;
    html.push_str(
        "<table><tr><th>for</th><th>window</th><th>requests</th><th>bad</th><th>slow</th>\
         <th>availability burn</th><th>latency burn</th></tr>\n",
    );
    for burn in &service.burns {
        write_row(html, "all", burn)?;
    }
    for organisation in &service.organisations {
        for burn in &organisation.burns {
            write_row(html, organisation.name.as_str(), burn)?;
        }
    }
    html.push_str("</table>\n");
    write_spenders(html, service)
}

fn write_row(html: &mut String, name: &str, burn: &report::Burn) -> fmt::Result {
    let class = if burn.highest() > 1.0 {
        " class=\"over\""
    } else {
        ""
    };
    writeln!(
        html,
        "<tr{class}><td>{name}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
        burn.window,
        burn.total,
        burn.bad,
        burn.slow,
        report::format_burn(burn.availability),
        report::format_burn(burn.latency)
    )
}

fn write_spenders(html: &mut String, service: &report::Service) -> fmt::Result {
    if service.spenders.is_empty() {
        return Ok(());
    }
    html.push_str(
        "<table><tr><th>server</th><th>fault</th><th>decision</th><th>requests</th><th>share</th></tr>\n",
    );
    for spender in &service.spenders {
        let cause = &spender.cause;
        let server = cause.server.as_ref().map_or("-", |s| s.as_str());
        writeln!(
            html,
            "<tr><td>{server}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.1}%</td></tr>",
            cause.fault,
            cause.decision,
            spender.requests,
            spender.share * 100.0
        )?;
    }
    html.push_str("</table>\n");
    Ok(())
}

/// Plots the burn by hour as SVG; the result is empty for a service without requests.
fn render_plot(service: &report::Service) -> Result<String, Box<dyn error::Error>> {
    let (Some(first), Some(last)) = (service.history.first(), service.history.last()) else {
        return Ok(String::new());
    };
    let hours_before_last =
        |p: &report::Point| -(last.seconds.saturating_sub(p.seconds) as f64) / 3600.0;
    let worst_burns = service
        .history
        .iter()
        .map(|p| p.availability.max(p.latency));
    let max_y = worst_burns.fold(1.0, f64::max) * 1.1;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(hours_before_last(first) - 0.5..0.5, 0.0..max_y)?;
        chart
            .configure_mesh()
            .x_desc("hours")
            .y_desc("burn")
            .draw()?;
        let availability = service
            .history
            .iter()
            .map(|p| (hours_before_last(p), p.availability));
        chart
            .draw_series(LineSeries::new(availability, &RED))?
            .label("availability")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED));
        // A line series with a single point draws nothing, so each point is also drawn as a circle.
        let points = service
            .history
            .iter()
            .map(|p| (hours_before_last(p), p.availability));
        chart.draw_series(points.map(|point| Circle::new(point, 3, RED.filled())))?;
        let latency = service
            .history
            .iter()
            .map(|p| (hours_before_last(p), p.latency));
        chart
            .draw_series(LineSeries::new(latency, &BLUE))?
            .label("latency")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLUE));
        let points = service
            .history
            .iter()
            .map(|p| (hours_before_last(p), p.latency));
        chart.draw_series(points.map(|point| Circle::new(point, 2, BLUE.filled())))?;
        chart.configure_series_labels().border_style(BLACK).draw()?;
        root.present()?;
    }
    Ok(svg)
}
