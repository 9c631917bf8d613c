//! The account as one self-contained HTML file with SVG charts.

use std::error::Error;
use std::fmt::Write as _;

use plotters::prelude::*;
use sableloom_rehearsal::{Account, Count, Row, Verdict};

use crate::play::Report;

type Drawn = Result<String, Box<dyn Error>>;

const SIZE: (u32, u32) = (960, 300);
/// A kind of outcome: its name, its colour, and its count in a row.
type Shown = (&'static str, RGBColor, fn(&Count) -> u64);
/// A line of a chart: its name, its colour, its points.
type Line = (String, RGBColor, Vec<(f64, f64)>);

/// From the best outcome to the worst.
const ENDS: [Shown; 8] = [
    ("served", RGBColor(46, 125, 50), |c| c.served),
    ("late", RGBColor(192, 202, 51), |c| c.late),
    ("refused", RGBColor(255, 179, 0), |c| c.refused),
    ("failed", RGBColor(239, 108, 0), |c| c.failed),
    ("caught", RGBColor(126, 87, 194), |c| c.caught),
    ("unreached", RGBColor(120, 144, 156), |c| c.unreached),
    ("left", RGBColor(189, 189, 189), |c| c.left),
    ("lost", RGBColor(183, 28, 28), |c| c.lost),
];
const LINES: [RGBColor; 6] = [
    RGBColor(21, 101, 192),
    RGBColor(216, 27, 96),
    RGBColor(0, 137, 123),
    RGBColor(251, 140, 0),
    RGBColor(94, 53, 177),
    RGBColor(109, 76, 65),
];

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn length(account: &Account) -> f64 {
    account.seconds.len().max(1) as f64
}

/// The periods of faults, each from a step that begins one to the next step that ends one.
fn bands(account: &Account) -> Vec<(f64, f64)> {
    let (mut bands, mut open) = (Vec::new(), None);
    for (at, _, ends) in &account.steps {
        let at = *at as f64 / 1e6;
        match (ends, open) {
            (false, None) => open = Some((at, at)),
            (_, Some((from, _))) => open = Some((from, at)),
            (true, None) => {}
        }
    }
    if let Some((from, to)) = open {
        bands.push((from, to.max(from + 0.05).min(length(account))));
    }
    bands
}

fn ends(account: &Account) -> Drawn {
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let most = account.seconds.iter().map(|row| row.all().asked).max().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .caption("requests by second, by how they ended", ("sans-serif", 15))
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..length(account), 0.0..most as f64 * 1.05)?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw()?;
        let band = |(from, to): (f64, f64)| {
            Rectangle::new([(from, 0.0), (to, most as f64 * 1.05)], RED.mix(0.08).filled())
        };
        chart.draw_series(bands(account).into_iter().map(band))?;
        for (i, (name, colour, _)) in ENDS.iter().enumerate() {
            let bars = account.seconds.iter().enumerate().map(|(second, row)| {
                let all = row.all();
                let below: u64 = ENDS[..i].iter().map(|end| end.2(&all)).sum();
                let top = below + ENDS[i].2(&all);
                let corners =
                    [(second as f64 + 0.06, below as f64), (second as f64 + 0.94, top as f64)];
                Rectangle::new(corners, colour.filled())
            });
            let colour = *colour;
            chart.draw_series(bars)?.label(*name).legend(move |(x, y)| {
                Rectangle::new([(x, y - 4), (x + 10, y + 4)], colour.filled())
            });
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        root.present()?;
    }
    Ok(text)
}

/// Lines over time.
fn lines(account: &Account, title: &str, most: f64, lines: &[Line]) -> Drawn {
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .caption(title, ("sans-serif", 15))
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..length(account), 0.0..most)?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw()?;
        let band = |(from, to): (f64, f64)| {
            Rectangle::new([(from, 0.0), (to, most)], RED.mix(0.08).filled())
        };
        chart.draw_series(bands(account).into_iter().map(band))?;
        for (name, colour, points) in lines {
            let colour = *colour;
            chart
                .draw_series(LineSeries::new(points.iter().copied(), &colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour));
        }
        if lines.len() <= 12 {
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        }
        root.present()?;
    }
    Ok(text)
}

fn shares(rows: &[Row], count: impl Fn(&Row) -> Count) -> Vec<(f64, f64)> {
    let point = |(i, row): (usize, &Row)| (i as f64 + 0.5, count(row).served_share());
    rows.iter().enumerate().map(point).collect()
}

fn rows(text: &mut String, name: &str, rows: &[Row]) {
    let _ = write!(text, "<table><tr><th>{name}<th>asked");
    for (name, ..) in ENDS {
        let _ = write!(text, "<th>{name}");
    }
    text.push_str("<th>p50 ms<th>p99 ms</tr>");
    for row in rows {
        let all = row.all();
        let _ = write!(text, "<tr><td>{}<td>{}", escaped(&row.name), all.asked);
        for (_, _, of) in ENDS {
            let part = of(&all) as f64 / all.asked.max(1) as f64;
            let _ = write!(text, "<td>{part:.3}");
        }
        match row.times {
            Some((half, most)) => {
                let _ =
                    write!(text, "<td>{:.0}<td>{:.0}</tr>", half as f64 / 1e3, most as f64 / 1e3);
            }
            None => text.push_str("<td>-<td>-</tr>"),
        }
    }
    text.push_str("</table>");
}

/// The account of one run.
///
/// # Errors
///
/// If a chart can't be drawn.
pub fn page(report: &Report) -> Drawn {
    let account = &report.account;
    let mut body = String::new();
    let verdict = match &report.verdict {
        Verdict::Met => "all that was expected holds".to_string(),
        Verdict::Unmet(why) => format!("not as expected: {}", why.join("; ")),
        Verdict::Void(why) => {
            format!("void, this machine could not carry the run: {}", why.join("; "))
        }
    };
    let _ = write!(
        body,
        "<h1>{}</h1><p>Seed {}. <b>{}</b></p>{}",
        escaped(&account.script),
        account.seed,
        escaped(&verdict),
        ends(account)?
    );
    let by_class: Vec<_> = account
        .classes
        .iter()
        .enumerate()
        .map(|(i, name)| {
            (name.clone(), LINES[i % 6], shares(&account.seconds, |row| row.classes[i]))
        })
        .collect();
    body += &lines(account, "share served in time, by class", 1.05, &by_class)?;
    let by_node: Vec<_> = account
        .nodes
        .iter()
        .enumerate()
        .map(|(n, rows)| {
            let points = rows.iter().map(|row| (row.at as f64 / 1e6, row.sent)).collect::<Vec<_>>();
            (format!("n{}", n + 1), LINES[n % 6], points)
        })
        .collect();
    let most = by_node.iter().flat_map(|(_, _, points)| points).map(|p| p.1).fold(1.5, f64::max);
    body += &lines(
        account,
        "work sent to each node, over what it could do then",
        most * 1.05,
        &by_node,
    )?;
    body += "<h2>Phases</h2>";
    rows(&mut body, "phase", &account.phases);
    body += "<h2>Balancers</h2>";
    rows(&mut body, "balancer", &account.balancers);
    body += "<h2>What was done</h2><pre>";
    for (at, what, _) in &account.steps {
        let _ = writeln!(body, "{:>9.3} s  {}", *at as f64 / 1e6, escaped(what));
    }
    body += "</pre><h2>In words</h2><pre>";
    body += &escaped(&crate::table::table(report));
    body += "</pre>";
    Ok(whole(&account.script, &body))
}

/// Two runs beside each other, and where they differ.
///
/// # Errors
///
/// If a chart can't be drawn.
pub fn beside(now: &Report, before: &Report) -> Drawn {
    let (a, b) = (&now.account, &before.account);
    let all = |account: &Account| shares(&account.seconds, Row::all);
    let (here, there) = (all(a), all(b));
    let apart: Vec<(f64, f64)> =
        here.iter().zip(&there).map(|(x, y)| (x.0, (x.1 - y.1).abs())).collect();
    let drawn = [
        ("now".to_string(), LINES[0], here),
        ("before".to_string(), LINES[1], there),
        ("apart".to_string(), RGBColor(158, 158, 158), apart),
    ];
    let mut body = format!("<h1>{}, beside an earlier run</h1>", escaped(&a.script));
    body += &lines(a, "share served in time, and how far apart", 1.05, &drawn)?;
    body += "<pre>";
    body += &escaped(&crate::table::compared(now, before));
    body += "</pre><h2>Now</h2>";
    body += &ends(a)?;
    body += "<h2>Before</h2>";
    body += &ends(b)?;
    Ok(whole(&a.script, &body))
}

fn whole(title: &str, body: &str) -> String {
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{}</title><style>\
         body{{font:15px sans-serif;max-width:1000px;margin:2em auto}}svg{{display:block;margin:1em 0}}\
         table{{border-collapse:collapse}}td,th{{padding:2px 9px;text-align:right;border-bottom:1px solid #ddd}}\
         td:first-child,th:first-child{{text-align:left}}pre{{font-size:13px;overflow:auto}}</style>{body}</html>\n",
        escaped(title)
    )
}
