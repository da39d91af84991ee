//! Line plots as SVG, drawn by `plotters`.

use crate::error::LabError;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use std::ops::Range;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (640, 280);

/// Colours that stay apart for readers who tell few of them.
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
    /// Its place on the horizontal axis.
    pub(super) x: f64,
    /// Its place on the vertical axis.
    pub(super) y: f64,
}

/// A line with its name.
pub(super) struct Line {
    /// What the legend calls it.
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

/// What the axes show.
pub(super) struct Axes<'a> {
    /// Name of the horizontal axis.
    pub(super) across: &'a str,
    /// Name of the vertical axis.
    pub(super) up: &'a str,
    /// The vertical axis begins at 0.
    pub(super) from_zero: bool,
}

type DrawingError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// The span of a coordinate over all lines; none without a finite value.
fn span(lines: &[Line], coordinate: fn(&Point) -> f64) -> Option<Range<f64>> {
    let points = lines.iter().flat_map(|line| &line.points);
    let mut span: Option<Range<f64>> = None;
    for value in points.map(coordinate).filter(|value| value.is_finite()) {
        let so_far = span.unwrap_or(value..value);
        span = Some(so_far.start.min(value)..so_far.end.max(value));
    }
    span
}

/// Draws lines as one SVG; an empty text where there is nothing to draw.
pub(super) fn draw_lines(title: &str, axes: Axes, lines: &[Line]) -> Result<String, LabError> {
    let Some(across) = span(lines, |point| point.x) else {
        return Ok(String::new());
    };
    let Some(up) = span(lines, |point| point.y) else {
        return Ok(String::new());
    };
    let right = if across.end > across.start {
        across.end
    } else {
        across.start + 1.0
    };
    let bottom = if axes.from_zero {
        up.start.min(0.0)
    } else {
        up.start
    };
    let top = if up.end > bottom {
        up.end + (up.end - bottom) * 0.05
    } else {
        bottom + 1.0
    };
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    let drawn = draw_chart(&area, title, &axes, lines, across.start..right, bottom..top);
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
    across: Range<f64>,
    up: Range<f64>,
) -> Result<(), DrawingError<'a>> {
    area.fill(&WHITE)?;
    let mut chart: ChartContext<_, Cartesian2d<RangedCoordf64, RangedCoordf64>> =
        ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(across, up)?;
    chart
        .configure_mesh()
        .x_desc(axes.across)
        .y_desc(axes.up)
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
