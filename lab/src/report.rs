//! One HTML page of an experiment, without outside parts: tables and lines over time, with what happened drawn in.

use std::fmt::Write;

use plotters::prelude::*;
use sloeline_emulator::world::World;

use crate::experiment::Experiment;
use crate::play::{Cell, MEASURES};
use crate::stats::Estimate;

const SIZE: (u32, u32) = (900, 260);
const COLOURS: [RGBColor; 10] = [
    RGBColor(200, 30, 30),
    RGBColor(31, 119, 180),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(227, 119, 194),
    RGBColor(127, 127, 127),
    RGBColor(188, 189, 34),
    RGBColor(0, 0, 0),
];
/// Goodput that counts as the old one again, as a part of it.
const BACK: f64 = 0.95;
/// Goodput at the end under which a world has not come back, as a part of the old one.
const STUCK: f64 = 0.8;
/// A loss beside another policy that is named.
const NAMED: f64 = 0.1;

/// The cells of one variant.
fn of<'a>(cells: &'a [Cell], variant: &'a str) -> impl Iterator<Item = &'a Cell> + Clone {
    cells.iter().filter(move |c| c.variant == variant)
}

/// A figure of each cell of a variant, in the order of seeds.
pub fn figures(cells: &[Cell], variant: &str, name: &str) -> Vec<f64> {
    of(cells, variant).filter_map(|c| c.figure(name)).collect()
}

/// The mean over seeds of a column of the seconds; goodput by what was asked.
fn line(cells: &[Cell], variant: &str, column: usize) -> Vec<(f64, f64)> {
    let length = of(cells, variant).map(|c| c.seconds.len()).max().unwrap_or(0);
    let mut points = Vec::with_capacity(length);
    for second in 0..length {
        let here = of(cells, variant).filter_map(|c| c.seconds.get(second));
        let (mut sum, mut weight) = (0.0, 0.0);
        for s in here {
            let w = match column {
                1 => s[0].max(1e-9),
                _ => 1.0,
            };
            let value = match column {
                // For each request asked.
                2..=4 => s[column] / s[0].max(1.0),
                _ => s[column],
            };
            sum += value * w;
            weight += w;
        }
        points.push((second as f64, sum / f64::max(weight, 1e-9)));
    }
    points
}

/// How a variant came out of what happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Recovery {
    /// Nothing happens that ends.
    Nothing,
    /// As good as before so many seconds after the last thing was undone.
    After(f64),
    /// Not, though all causes are gone: the state holds itself.
    Never {
        /// Goodput before.
        before: f64,
        /// Goodput at the end.
        end: f64,
    },
}

/// Whether goodput returned after the script was over.
pub fn recovery(world: &World, cells: &[Cell], variant: &str) -> Recovery {
    let first = world.events.iter().map(|e| e.at.seconds()).fold(f64::INFINITY, f64::min);
    let over = |e: &sloeline_emulator::script::Happening| {
        let again = f64::from(e.times.saturating_sub(1)) * e.every.seconds();
        e.at.seconds() + again + e.lasts.seconds()
    };
    let last = world.events.iter().map(over).fold(0.0, f64::max);
    let ends = world.events.iter().all(|e| e.lasts.0 > 0);
    let good = line(cells, variant, 1);
    let mean = |from: f64, to: f64| {
        let some: Vec<f64> = good.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, g)| *g).collect();
        some.iter().sum::<f64>() / some.len().max(1) as f64
    };
    let (start, length) = (world.warm_up.seconds(), world.length.seconds());
    if !ends || !first.is_finite() || first <= start + 1.0 || last + 5.0 > length {
        return Recovery::Nothing;
    }
    let before = mean(start, first);
    let back = good.iter().find(|(at, _)| *at >= last && mean(*at, at + 3.0) >= BACK * before);
    let end = mean(length - 5.0, length);
    match back {
        Some((at, _)) => Recovery::After(at - last),
        None if end < STUCK * before => Recovery::Never { before, end },
        None => Recovery::After(length - last),
    }
}

fn chart(
    title: &str,
    experiment: &Experiment,
    cells: &[Cell],
    column: usize,
    scale: f64,
) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    let lines: Vec<(&str, Vec<(f64, f64)>)> = experiment
        .variants
        .iter()
        .map(|(v, _)| (v.name.as_str(), line(cells, &v.name, column)))
        .map(|(name, points)| (name, points.into_iter().map(|(x, y)| (x, y * scale)).collect()))
        .collect();
    let all = lines.iter().flat_map(|(_, points)| points.iter());
    let (right, top) = all.fold((1.0_f64, 0.0_f64), |(x, y), p| (x.max(p.0), y.max(p.1)));
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 15))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..right, 0.0..f64::max(top * 1.05, 1e-6))?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw()?;
        for (_, world) in experiment.variants.iter().take(1) {
            for event in &world.events {
                let at = event.at.seconds();
                let until = at + event.lasts.seconds();
                let shade = RGBColor(250, 235, 200);
                if event.lasts.0 > 0 {
                    chart.draw_series([Rectangle::new(
                        [(at, 0.0), (until, top * 1.05)],
                        shade.mix(0.5).filled(),
                    )])?;
                }
                chart
                    .draw_series([PathElement::new([(at, 0.0), (at, top * 1.05)], RGBColor(190, 150, 60))])?;
                chart.draw_series([Text::new(event.title(), (at, top * 1.03), ("sans-serif", 10))])?;
            }
        }
        for (i, (name, points)) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let style = ShapeStyle::from(colour).stroke_width(if i == 0 { 2 } else { 1 });
            chart
                .draw_series(LineSeries::new(points.iter().copied(), style))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .label_font(("sans-serif", 10))
            .draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Where the first variant loses more than a tenth to another one: the other, its lead, and the interval.
pub fn losses(experiment: &Experiment, cells: &[Cell]) -> Vec<(String, Estimate)> {
    let Some((ours, _)) = experiment.variants.first() else { return Vec::new() };
    let own = figures(cells, &ours.name, "goodput");
    let others = experiment.variants.iter().skip(1);
    let lead = |name: &str| Estimate::of_pairs(&figures(cells, name, "goodput"), &own);
    others
        .map(|(v, _)| (v.name.clone(), lead(&v.name)))
        .filter(|(_, e)| e.mean > NAMED && e.low > 0.0)
        .collect()
}

/// The page.
pub fn page(experiment: &Experiment, cells: &[Cell]) -> Result<String, String> {
    let mut html = String::new();
    let mut put = |text: String| _ = writeln!(html, "{text}");
    let title = escaped(&experiment.name);
    put(format!("<!doctype html><meta charset=utf-8><title>{title}</title>"));
    put("<style>body{font:14px sans-serif;max-width:960px;margin:2em auto}table{border-collapse:collapse}\
         td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}td:first-child{text-align:left}\
         pre{background:#f6f6f6;padding:6px;overflow:auto}svg{max-width:100%}</style>"
        .to_owned());
    put(format!("<h1>{title}</h1><p>{}</p>", escaped(&experiment.about)));
    let seeds = experiment.seeds.len();
    put(format!(
        "<p>{seeds} seeds; each figure is a mean over them, differences are paired by seed with a 95% bootstrap \
         interval.</p>"
    ));
    put("<table><tr><th>variant<th>goodput<th>beside the first<th>worst 5 s<th>worst balancer<th>refused<th>failed\
         <th>p50 ms<th>p99 ms<th>attempts<th>breaches<th>comes back</tr>"
        .to_owned());
    let first =
        experiment.variants.first().map(|(v, _)| figures(cells, &v.name, "goodput")).unwrap_or_default();
    for (variant, world) in &experiment.variants {
        let mean = |name: &str| Estimate::of(&figures(cells, &variant.name, name)).mean;
        let good = figures(cells, &variant.name, "goodput");
        let beside = Estimate::of_pairs(&good, &first);
        let breaches: f64 = ["lost", "twice", "drain", "cold"].iter().map(|rule| mean(rule)).sum();
        let back = match recovery(world, cells, &variant.name) {
            Recovery::Nothing => String::new(),
            Recovery::After(seconds) => format!("{seconds:.0} s"),
            Recovery::Never { before, end } => format!("<b>no</b>: {before:.2} before, {end:.2} at the end"),
        };
        put(format!(
            "<tr><td>{}<td>{:.3}<td>{:+.3} ({:+.3} to {:+.3})<td>{:.3}<td>{:.3}<td>{:.3}<td>{:.3}<td>{:.1}<td>{:.0}\
             <td>{:.2}<td>{:.1}<td>{back}</tr>",
            escaped(&variant.name),
            mean("goodput"),
            beside.mean,
            beside.low,
            beside.high,
            mean("worst"),
            mean("balancer"),
            mean("refused"),
            mean("failed") + mean("left") + mean("empty"),
            mean("p50"),
            mean("p99"),
            mean("attempts"),
            breaches,
        ));
    }
    put("</table>".to_owned());
    for (title, column, scale) in [
        ("goodput", 1, 1.0),
        ("refused, of those asked", 2, 1.0),
        ("failed or left, of those asked", 3, 1.0),
        ("attempts a request", 4, 1.0),
        ("median latency, ms", 5, 0.001),
        ("99th percentile, ms", 6, 0.001),
    ] {
        put(chart(title, experiment, cells, column, scale).map_err(|e| e.to_string())?);
    }
    put("<h2>Shares</h2><table><tr><th>variant<th>most to a node, of the mean<th>least<th>balancers' goodput, least to most</tr>"
        .to_owned());
    for (variant, _) in &experiment.variants {
        let Some(cell) = of(cells, &variant.name).next() else { continue };
        let mean = cell.nodes.iter().sum::<u64>() as f64 / cell.nodes.len().max(1) as f64;
        let (least, most) = cell.nodes.iter().fold((u64::MAX, 0), |(l, m), n| (l.min(*n), m.max(*n)));
        let (worst, best) =
            cell.balancers.iter().fold((1.0_f64, 0.0_f64), |(l, m), g| (l.min(*g), m.max(*g)));
        put(format!(
            "<tr><td>{}<td>{:.2}<td>{:.2}<td>{worst:.3} to {best:.3}</tr>",
            escaped(&variant.name),
            most as f64 / mean.max(1.0),
            least as f64 / mean.max(1.0),
        ));
    }
    put("</table>".to_owned());
    let broken: Vec<&Cell> = cells.iter().filter(|c| !c.breaches.is_empty()).collect();
    if !broken.is_empty() {
        put("<h2>Breaches</h2>".to_owned());
        let mut told = Vec::new();
        for cell in broken {
            for breach in &cell.breaches {
                let rule = breach.split(':').next().unwrap_or_default();
                if !told.contains(&(cell.variant.as_str(), rule)) {
                    told.push((cell.variant.as_str(), rule));
                    put(format!(
                        "<p>{}, seed {}</p><pre>{}</pre>",
                        escaped(&cell.variant),
                        cell.seed,
                        escaped(breach)
                    ));
                }
            }
        }
    }
    put("<h2>Figures</h2><table>".to_owned());
    for (name, what, _) in MEASURES {
        put(format!("<tr><td>{name}<td style=text-align:left>{what}</tr>"));
    }
    put("</table>".to_owned());
    Ok(html)
}
