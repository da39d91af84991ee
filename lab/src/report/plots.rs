//! Draws line plots as SVG with the `plotters` crate.

use crate::error::LabError;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use std::ops::Range;

/// Width and height of a plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (640, 280);

/// Line colours that readers with colour blindness can tell apart: five of the Okabe-Ito palette and a dark grey.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(60, 60, 60),
];

/// A point of a line.
pub(super) struct Point {
    /// The value on the horizontal axis.
    pub(super) x: f64,
    /// The value on the vertical axis.
    pub(super) y: f64,
}

/// A line of a plot.
pub(super) struct Line {
    /// The line's name in the legend.
    pub(super) name: String,
    /// Its points, from left to right.
    pub(super) points: Vec<Point>,
}

impl Line {
    /// A line without points.
    pub(super) fn new(name: &str) -> Line {
        Line {
            name: name.into(),
            points: Vec::new(),
        }
    }

    /// Appends a point.
    pub(super) fn push(&mut self, x: f64, y: f64) {
        self.points.push(Point { x, y });
    }
}

/// The labels of the axes and the start of the vertical one.
pub(super) struct Axes<'a> {
    /// Label of the horizontal axis.
    pub(super) x_label: &'a str,
    /// Label of the vertical axis.
    pub(super) y_label: &'a str,
    /// Whether the vertical axis starts at 0, or lower for negative values, and not at the smallest value.
    pub(super) y_from_zero: bool,
}

type DrawingError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// The range of a coordinate's finite values over all lines; none without one.
fn value_range(lines: &[Line], coordinate: fn(&Point) -> f64) -> Option<Range<f64>> {
    let points = lines.iter().flat_map(|line| &line.points);
    let mut range: Option<Range<f64>> = None;
    for value in points.map(coordinate).filter(|value| value.is_finite()) {
        let so_far = range.unwrap_or(value..value);
        range = Some(so_far.start.min(value)..so_far.end.max(value));
    }
    range
}

/// Draws lines as an SVG image; an empty text if there is no point to draw.
pub(super) fn draw_lines(title: &str, axes: Axes, lines: &[Line]) -> Result<String, LabError> {
    let Some(x_range) = value_range(lines, |point| point.x) else {
        return Ok(String::new());
    };
    let Some(y_range) = value_range(lines, |point| point.y) else {
        return Ok(String::new());
    };
    let right = if x_range.end > x_range.start {
        x_range.end
    } else {
        x_range.start + 1.0
    };
    let bottom = if axes.y_from_zero {
        y_range.start.min(0.0)
    } else {
        y_range.start
    };
    let top = if y_range.end > bottom {
        y_range.end + (y_range.end - bottom) * 0.05
    } else {
        bottom + 1.0
    };
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE_PIXELS).into_drawing_area();
    let drawn = draw_chart(
        &area,
        title,
        &axes,
        lines,
        x_range.start..right,
        bottom..top,
    );
    drawn.map_err(|error| LabError::Plot {
        title: title.to_string(),
        source: error.into(),
    })?;
    drop(area);
    Ok(svg)
}

fn draw_chart<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    title: &str,
    axes: &Axes,
    lines: &[Line],
    x_range: Range<f64>,
    y_range: Range<f64>,
) -> Result<(), DrawingError<'a>> {
    area.fill(&WHITE)?;
    let mut chart: ChartContext<_, Cartesian2d<RangedCoordf64, RangedCoordf64>> =
        ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(x_range, y_range)?;
    chart
        .configure_mesh()
        .x_desc(axes.x_label)
        .y_desc(axes.y_label)
        .light_line_style(WHITE)
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let points = line.points.iter().map(|point| (point.x, point.y));
        let series = LineSeries::new(points, colour.stroke_width(2));
        chart
            .draw_series(series)?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
    }
    if lines.len() > 1 {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .border_style(RGBColor(200, 200, 200))
            .draw()?;
    }
    area.present()
}
