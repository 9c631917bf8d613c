//! `sableloom shadow`: what the records of shadows say.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::{CellAlignment, Table};
use plotters::prelude::*;
use sableloom_server_files::{FileError, read_file};
use sableloom_shadow::{
    Estimate, Finding, FindingKind, Judgement, JudgementLimits, LatencySummary, Record,
    RecordError, judge,
};

/// Something speaks against the candidate.
const AGAINST: u8 = 1;
/// There are too few pairs of some class.
const EARLY: u8 = 3;
/// The shares of pairs that charts show times for.
const SHARES: usize = 200;

/// What to do with records.
#[derive(clap::Args)]
pub(crate) struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Adds up the records of one shadow, of all balancers that have it, and tells how the candidate
    /// does. Ends with 0 if nothing speaks against it, with 1 if something does, with 3 if it is too
    /// early to tell
    Report(Report),
}

#[derive(clap::Args)]
struct Report {
    /// Records, as balancers write them
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// The form to print
    #[arg(long, value_enum, default_value_t = Form::Text)]
    format: Form,
    /// Fewer compared pairs of a class tell nothing
    #[arg(long, default_value_t = JudgementLimits::default().min_pairs)]
    least: u64,
    /// Share of pairs that may differ
    #[arg(long, value_parser = share, default_value_t = JudgementLimits::default().max_differing)]
    differ_at_most: f64,
    /// Share of copies that may fail
    #[arg(long, value_parser = share, default_value_t = JudgementLimits::default().max_failing)]
    fail_at_most: f64,
    /// Share of copies that may be late where the live answer was not, beyond the reverse
    #[arg(long, value_parser = share, default_value_t = JudgementLimits::default().max_late_excess)]
    late_at_most: f64,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Form {
    /// Tables
    Text,
    /// The record, added up
    Json,
    /// A page by itself, with charts
    Html,
}

fn share(text: &str) -> Result<f64, String> {
    let share = text.parse::<f64>().ok().filter(|share| (0.0..=1.0).contains(share));
    share.ok_or_else(|| "expected a share from 0 to 1".to_string())
}

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReportError {
    /// There is no file of a record.
    #[error("no record")]
    NoRecord,
    /// A file can't be read.
    #[error("{file}: {cause}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        cause: FileError,
    },
    /// A file is no record.
    #[error("{file}:{line}:{column}: field `{field}`: {cause}")]
    Malformed {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// The path of the field.
        field: String,
        /// What is wrong with it.
        cause: serde_json::Error,
    },
    /// A record can't be used, or not together with the others.
    #[error("{file}: {cause}")]
    Unusable {
        /// The file.
        file: String,
        /// Why.
        cause: RecordError,
    },
    /// The record can't be written as JSON.
    #[error("the record: {0}")]
    Encode(serde_json::Error),
    /// A chart can't be drawn.
    #[error("the chart: {0}")]
    Chart(String),
}

/// Carries it out.
pub(crate) fn run(options: Options) -> Result<ExitCode, ReportError> {
    let Command::Report(report) = options.command;
    let record = read(&report.files)?;
    let limits = JudgementLimits {
        min_pairs: report.least,
        max_differing: report.differ_at_most,
        max_failing: report.fail_at_most,
        max_late_excess: report.late_at_most,
    };
    let judgement = judge(&record, &limits);
    let text = match report.format {
        Form::Text => text(&record, &judgement),
        Form::Json => serde_json::to_string_pretty(&record).map_err(ReportError::Encode)? + "\n",
        Form::Html => html(&record, &judgement)?,
    };
    // Nothing to print to is no other verdict.
    let _ = std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes());
    Ok(match (judgement.is_against_candidate(), judgement.has_too_few_pairs()) {
        (true, _) => ExitCode::from(AGAINST),
        (false, true) => ExitCode::from(EARLY),
        (false, false) => ExitCode::SUCCESS,
    })
}

/// Reads the records of a shadow at several balancers, and adds them up.
fn read(files: &[PathBuf]) -> Result<Record, ReportError> {
    let mut sum: Option<Record> = None;
    for file in files {
        let record = read_record(file)?;
        match &mut sum {
            Some(sum) => sum.merge(&record).map_err(|cause| unusable(file, cause))?,
            None => sum = Some(record),
        }
    }
    sum.ok_or(ReportError::NoRecord)
}

fn read_record(path: &Path) -> Result<Record, ReportError> {
    let file = path.display().to_string();
    let bytes = match read_file(path) {
        Ok(bytes) => bytes,
        Err(cause) => return Err(ReportError::Unreadable { file, cause }),
    };
    let mut reader = serde_json::Deserializer::from_slice(&bytes);
    let record: Record = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let field = error.path().to_string();
        let cause = error.into_inner();
        let (line, column) = (cause.line(), cause.column());
        ReportError::Malformed { file, line, column, field, cause }
    })?;
    record.check_format().map_err(|cause| unusable(path, cause))?;
    Ok(record)
}

fn unusable(path: &Path, cause: RecordError) -> ReportError {
    ReportError::Unusable { file: path.display().to_string(), cause }
}

fn table(heads: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header(heads);
    table.add_rows(rows);
    table.column_iter_mut().skip(1).for_each(|c| c.set_cell_alignment(CellAlignment::Right));
    table
}

fn share_of(part: u64, of: u64) -> String {
    format!("{:.2}%", 100.0 * part as f64 / of.max(1) as f64)
}

/// The tables, each with its title, heads and rows.
type Shown = (&'static str, Vec<&'static str>, Vec<Vec<String>>);

fn tables(record: &Record) -> Vec<Shown> {
    let counts = record.classes.iter().filter(|c| c.ended > 0).map(|c| {
        let all = [c.ended, c.not_sent, c.failed, c.disturbed, c.same, c.different];
        std::iter::once(c.name.clone()).chain(all.iter().map(u64::to_string)).collect()
    });
    let counts = counts.collect();
    let mut times: Vec<Vec<String>> = Vec::new();
    for class in record.classes.iter().filter(|c| c.candidate_latency.count() > 0) {
        let sides = [
            ("live", &class.live_latency),
            ("candidate", &class.candidate_latency),
            ("control", &class.control_latency),
        ];
        for (side, spread) in sides.into_iter().filter(|(_, spread)| spread.count() > 0) {
            let mut row = vec![format!("{} {side}", class.name), spread.count().to_string()];
            let at = |share| format!("{:.2}", spread.quantile_ms(share));
            row.extend([0.5, 0.9, 0.99, 0.999].map(at));
            times.push(row);
        }
    }
    let skipped = record.skipped.iter().filter(|(_, n)| **n > 0);
    let skipped = skipped.map(|(why, n)| vec![why.clone(), n.to_string()]).collect();
    vec![
        (
            "Copies",
            vec!["class", "ended", "no room", "failed", "disturbed", "same", "different"],
            counts,
        ),
        ("Times in ms", vec!["", "pairs", "p50", "p90", "p99", "p99.9"], times),
        ("Not copied", vec!["why", "requests"], skipped),
    ]
}

fn said(finding: &Finding) -> String {
    let (pairs, of) = (finding.affected, finding.total);
    let what = match &finding.kind {
        FindingKind::TooFewPairs => {
            return format!("{}: {pairs} pairs compared, too few to tell", finding.class);
        }
        FindingKind::Differs(place) => format!("differs at {place}: {pairs} of {of} pairs"),
        FindingKind::Fails => format!("fails: {pairs} of {of} copies"),
        FindingKind::Late => {
            format!("late where the live answer was in time, or failed: {pairs} of {of} copies")
        }
    };
    let Estimate { share, low, high } = finding.estimate;
    let mut all = format!("{}: {what}", finding.class);
    let beside = match (finding.p_value, &finding.kind) {
        (None, _) => "",
        (Some(_), FindingKind::Late) => "beyond the reverse, ",
        (Some(_), _) => "beyond the control group, ",
    };
    let _ =
        write!(all, "; {beside}{:.2}% ({:.2} to {:.2})", 100.0 * share, 100.0 * low, 100.0 * high);
    if let Some(chance) = finding.p_value {
        let _ = write!(all, ", by chance alone in {:.2}% of cases", 100.0 * chance);
    }
    all
}

fn verdict(judgement: &Judgement) -> &'static str {
    match (judgement.is_against_candidate(), judgement.has_too_few_pairs()) {
        (true, _) => "something speaks against the candidate",
        (false, true) => "too early to tell",
        (false, false) => "nothing speaks against the candidate",
    }
}

fn head(record: &Record) -> [String; 2] {
    let (live, candidate) = (&record.pools.live, &record.pools.candidate);
    let control = record.control.as_ref().map(|c| format!(", control {c}")).unwrap_or_default();
    let minutes = record.written_ms.saturating_sub(record.started_ms) as f64 / 60_000.0;
    [
        format!(
            "shadow {}: live {live}, candidate {candidate}{control}; {minutes:.1} min",
            record.shadow
        ),
        format!(
            "{} safe requests, {} of the sample served, {} copied ({}); the candidate rested {} times",
            record.seen,
            record.sampled,
            record.copied,
            share_of(record.copied, record.seen),
            record.breaker_openings
        ),
    ]
}

/// The examples of each place.
fn examples(record: &Record) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for class in &record.classes {
        for (place, counts) in &class.differences {
            for e in &counts.examples {
                let row = [&class.name, place, &e.id, &e.live, &e.candidate];
                rows.push(row.into_iter().cloned().collect());
            }
        }
    }
    rows
}

const EXAMPLES: [&str; 5] = ["class", "where", "request", "live", "candidate"];

fn text(record: &Record, judgement: &Judgement) -> String {
    let mut out = head(record).join("\n") + "\n";
    let _ = writeln!(out, "\n{}", verdict(judgement));
    for finding in &judgement.findings {
        let mark = if finding.against { "AGAINST" } else { "       " };
        let _ = writeln!(out, "  {mark} {}", said(finding));
    }
    for (title, heads, rows) in tables(record).into_iter().filter(|(.., rows)| !rows.is_empty()) {
        let _ = writeln!(out, "\n{title}\n{}", table(&heads, rows));
    }
    let examples = examples(record);
    if !examples.is_empty() {
        let mut shown = table(&EXAMPLES, examples);
        shown.column_iter_mut().for_each(|c| c.set_cell_alignment(CellAlignment::Left));
        let _ = writeln!(out, "\nExamples\n{shown}");
    }
    out
}

// ---------------------------------------------------------------- the page

fn escaped(text: &str) -> String {
    let mut out = String::new();
    for c in text.chars() {
        match c {
            '&' => out += "&amp;",
            '<' => out += "&lt;",
            '>' => out += "&gt;",
            '"' => out += "&quot;",
            c if c.is_control() => out.push('\u{fffd}'),
            c => out.push(c),
        }
    }
    out
}

fn html_table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let cells = |tag: &str, row: &mut dyn Iterator<Item = &str>| -> String {
        row.map(|cell| format!("<{tag}>{}</{tag}>", escaped(cell))).collect()
    };
    let mut out = format!("<table><tr>{}</tr>", cells("th", &mut heads.iter().copied()));
    for row in rows {
        let row = cells("td", &mut row.iter().map(String::as_str));
        let _ = write!(out, "<tr>{row}</tr>");
    }
    out + "</table>"
}

/// How many of the pairs were answered within which time.
fn chart(sides: &[(&str, &LatencySummary, RGBColor)], aim_ms: f64) -> Result<String, ReportError> {
    let wrong = |e: &dyn std::fmt::Display| ReportError::Chart(e.to_string());
    let points = |spread: &LatencySummary| -> Vec<(f64, f64)> {
        let share = |n| n as f64 / SHARES as f64;
        (0..=SHARES).map(|n| (spread.quantile_ms(share(n)).max(0.01), 100.0 * share(n))).collect()
    };
    let all: Vec<f64> = sides.iter().flat_map(|(_, s, _)| points(s)).map(|(x, _)| x).collect();
    let least = all.iter().copied().fold(aim_ms.max(0.01), f64::min) / 1.2;
    let most = all.iter().copied().fold(aim_ms, f64::max) * 1.2;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (760, 340)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| wrong(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(14)
            .x_label_area_size(40)
            .y_label_area_size(56)
            .build_cartesian_2d((least..most).log_scale(), 0.0..100.0)
            .map_err(|e| wrong(&e))?;
        chart
            .configure_mesh()
            .x_desc("ms, on a logarithmic scale")
            .y_desc("% answered by then")
            .x_label_formatter(&|x| if *x < 10.0 { format!("{x:.1}") } else { format!("{x:.0}") })
            .light_line_style(WHITE)
            .draw()
            .map_err(|e| wrong(&e))?;
        for (name, spread, colour) in sides {
            let (colour, style) = (*colour, colour.stroke_width(2));
            chart
                .draw_series(LineSeries::new(points(spread), style))
                .map_err(|e| wrong(&e))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        let aim = [(aim_ms, 0.0), (aim_ms, 100.0)];
        chart
            .draw_series(LineSeries::new(aim, BLACK.mix(0.4)))
            .map_err(|e| wrong(&e))?
            .label("aim")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLACK.mix(0.4)));
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE)
            .border_style(BLACK.mix(0.2))
            .draw()
            .map_err(|e| wrong(&e))?;
        area.present().map_err(|e| wrong(&e))?;
    }
    Ok(svg)
}

const STYLE: &str = "body{font:15px system-ui,sans-serif;max-width:60rem;margin:2rem auto;\
    padding:0 1rem;color:#222}table{border-collapse:collapse;margin:.5rem 0 1.5rem}\
    th,td{border-bottom:1px solid #ddd;padding:.25rem .8rem;text-align:left}\
    td{font-variant-numeric:tabular-nums}.against{color:#a40000;font-weight:600}svg{max-width:100%}";

/// A page that needs nothing but itself.
fn html(record: &Record, judgement: &Judgement) -> Result<String, ReportError> {
    let [what, counts] = head(record);
    let mut out = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title>\
         <style>{STYLE}</style><h1>{0}</h1><p>{1}</p><h2>{2}</h2><ul>",
        escaped(&what),
        escaped(&counts),
        verdict(judgement)
    );
    for finding in &judgement.findings {
        let class = if finding.against { " class=\"against\"" } else { "" };
        let _ = write!(out, "<li{class}>{}</li>", escaped(&said(finding)));
    }
    out += "</ul>";
    for (title, heads, rows) in tables(record).into_iter().filter(|(.., rows)| !rows.is_empty()) {
        let _ = write!(out, "<h2>{title}</h2>{}", html_table(&heads, &rows));
    }
    for class in record.classes.iter().filter(|c| c.candidate_latency.count() > 0) {
        let mut sides =
            vec![("live", &class.live_latency, BLUE), ("candidate", &class.candidate_latency, RED)];
        if class.control_latency.count() > 0 {
            sides.push(("control", &class.control_latency, RGBColor(0, 140, 70)));
        }
        let svg = chart(&sides, class.latency_objective_ms)?;
        let _ = write!(out, "<h2>{}: times</h2>{svg}", escaped(&class.name));
    }
    let examples = examples(record);
    if !examples.is_empty() {
        let _ = write!(out, "<h2>Examples</h2>{}", html_table(&EXAMPLES, &examples));
    }
    Ok(out + "</html>\n")
}
