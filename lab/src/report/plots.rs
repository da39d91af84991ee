//! Plots as SVG, drawn by `plotters`.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// A line with its name.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

const SIZE: (u32, u32) = (640, 280);

/// Colours that stay apart for those who tell few.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(60, 60, 60),
];

fn span(lines: &[Line], pick: impl Fn(&(f64, f64)) -> f64) -> (f64, f64) {
    let all = lines
        .iter()
        .flat_map(|line| line.points.iter().map(&pick))
        .filter(|it| it.is_finite());
    all.fold((f64::INFINITY, f64::NEG_INFINITY), |span, it| {
        (span.0.min(it), span.1.max(it))
    })
}

/// Lines over an axis; `from_zero`: the other axis begins at 0.
pub fn lines(
    title: &str,
    across: &str,
    up: &str,
    lines: &[Line],
    from_zero: bool,
) -> Result<String, String> {
    let (left, right) = span(lines, |point| point.0);
    let (low, high) = span(lines, |point| point.1);
    if !left.is_finite() || !low.is_finite() {
        return Ok(String::new());
    }
    let low = if from_zero { low.min(0.0) } else { low };
    let high = if high > low {
        high + (high - low) * 0.05
    } else {
        low + 1.0
    };
    let right = if right > left { right } else { left + 1.0 };
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw(&area, (title, across, up), lines, (left..right, low..high))
            .map_err(|error| error.to_string())?;
    }
    Ok(svg)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(
    area: &Area,
    (title, across, up): (&str, &str, &str),
    lines: &[Line],
    (wide, high): (std::ops::Range<f64>, std::ops::Range<f64>),
) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let mut chart: ChartContext<_, Cartesian2d<RangedCoordf64, RangedCoordf64>> =
        ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(wide, high)?;
    chart
        .configure_mesh()
        .x_desc(across)
        .y_desc(up)
        .light_line_style(WHITE)
        .draw()?;
    for (place, line) in lines.iter().enumerate() {
        let colour = COLOURS[place % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                colour.stroke_width(2),
            ))?
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
    area.present()?;
    Ok(())
}
