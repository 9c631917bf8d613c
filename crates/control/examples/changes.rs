//! What a change costs a control machine by the number of services, and what its start takes.
//!
//! `cargo run --release -p sableloom-control --example changes -- PROGRAM [SERVICES...]`, with the program
//! `sableloom`; 25, 250 and 2,500 services unless others are named, each with 48 servers and 84 routes.

use std::fmt::Write;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use sableloom_control::{change_file_name, fetch_status_totals};

const SERVERS: usize = 48;
const ROUTES: usize = 84;
/// Services of one file of the base: about a megabyte.
const SERVICES_PER_FILE: usize = 50;
/// Changes that are measured one by one.
const SINGLE_CHANGES: u64 = 200;
/// Changes whose processor time is measured together.
const BATCHED_CHANGES: u64 = 1_000;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = PathBuf::from(arguments.next().expect("the program"));
    let mut sizes: Vec<usize> = arguments.map(|size| size.parse().expect("a number")).collect();
    if sizes.is_empty() {
        sizes = vec![25, 250, 2_500];
    }
    println!(
        "services  base MB  start s  resident MB  peak MB  one change ms: p50 p99  processor us a change"
    );
    for services in sizes {
        measure(&program, services);
    }
}

fn measure(program: &Path, services: usize) {
    let folder = std::env::temp_dir().join(format!("sableloom-log-{}", std::process::id()));
    let log = folder.join("changes");
    fs::create_dir_all(&log).expect("a folder");
    let settings = "listen = \"127.0.0.1:0\"\nchanges = \"changes\"\n";
    fs::write(folder.join("control.toml"), settings).expect("a file");
    let (mut number, bytes) = write_base(&log, services);

    let begun = Instant::now();
    let mut machine = Machine::start(program, &folder.join("control.toml"));
    let start = begun.elapsed();
    let resident = machine.status_kb("VmRSS:") / 1024;
    let peak = machine.status_kb("VmHWM:") / 1024;

    let mut times: Vec<f64> = Vec::new();
    for _ in 0..SINGLE_CHANGES {
        number += 1;
        let begun = Instant::now();
        write_change(&log, number, services);
        machine.await_position(number);
        times.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    let before = machine.processor_time();
    for _ in 0..BATCHED_CHANGES {
        number += 1;
        write_change(&log, number, services);
    }
    machine.await_position(number);
    let spent = machine.processor_time() - before;
    println!(
        "{services:8} {:8.1} {:8.2} {resident:12} {peak:8} {:19.2} {:.2} {:18.0}",
        bytes as f64 / 1e6,
        start.as_secs_f64(),
        times[times.len() / 2],
        times[times.len() * 99 / 100],
        spent.as_secs_f64() * 1e6 / BATCHED_CHANGES as f64
    );
    machine.end();
    fs::remove_dir_all(&folder).expect("it goes");
}

/// The base in files of some services each: the last number, and the bytes of all.
fn write_base(log: &Path, services: usize) -> (u64, usize) {
    let (mut number, mut bytes) = (0, 0);
    for first in (0..services).step_by(SERVICES_PER_FILE) {
        number += 1;
        let last = (first + SERVICES_PER_FILE).min(services);
        let mut text = format!("number = {number}\nepoch = 1\n");
        (first..last).for_each(|service| write_service(&mut text, service));
        let changes = (last - first) * (1 + SERVERS + ROUTES);
        _ = writeln!(text, "[end]\nchanges = {changes}");
        bytes += text.len();
        fs::write(log.join(change_file_name(number)), text).expect("a file");
    }
    (number, bytes)
}

fn write_service(text: &mut String, service: usize) {
    _ = writeln!(text, "[[pool]]\nservice = \"service-{service}\"\nt_qos_ms = 200");
    for server in 0..SERVERS {
        write_server(text, service, server, 1);
    }
    for route in 0..ROUTES {
        _ = writeln!(
            text,
            "[[route]]\nservice = \"service-{service}\"\nname = \"route-{route}\"\nrank = 100\n\
             host = \"s{service}.example\"\npath.prefix = \"/part-{route}/\""
        );
    }
}

fn write_server(text: &mut String, service: usize, server: usize, weight: u64) {
    let (high, low) = (service / 250, service % 250);
    _ = writeln!(
        text,
        "[[server]]\nservice = \"service-{service}\"\nid = \"server-{server}\"\n\
         address = \"10.{high}.{low}.{server}:9000\"\nzone = \"zone-{}\"\nweight = {weight}",
        server % 10
    );
}

/// Writes a change of the weight of one server.
fn write_change(log: &Path, number: u64, services: usize) {
    let mut text = format!("number = {number}\nepoch = 1\n");
    let service = number as usize * 7919 % services;
    write_server(&mut text, service, number as usize % SERVERS, 1 + number % 100);
    text.push_str("[end]\nchanges = 1\n");
    let new = log.join(".new");
    fs::write(&new, text).expect("a file");
    fs::rename(&new, log.join(change_file_name(number))).expect("a rename");
}

struct Machine {
    child: Child,
    address: SocketAddr,
    runtime: tokio::runtime::Runtime,
}

impl Machine {
    fn start(program: &Path, settings: &Path) -> Self {
        let mut command = Command::new(program);
        command.args(["control", "--config"]).arg(settings).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            let address = line.split_once("control listening on ")?.1;
            address.parse().ok()
        });
        std::thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| eprintln!("{line}"))
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        Self { child, address: address.expect("an address"), runtime: runtime.expect("a runtime") }
    }

    fn await_position(&self, number: u64) {
        while self.runtime.block_on(position(self.address)) < number {
            std::thread::sleep(Duration::from_micros(200));
        }
    }

    fn status_kb(&self, name: &str) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("a figure");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// In steps of 10 ms.
    fn processor_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("a process");
        // proc(5): utime and stime are the 14th and 15th field; the 2nd may hold spaces.
        let fields = stat.rsplit(") ").next().expect("fields").split(' ').skip(11).take(2);
        let ticks: u64 = fields.map(|field| field.parse::<u64>().expect("ticks")).sum();
        Duration::from_millis(10 * ticks)
    }

    fn end(&mut self) {
        self.child.kill().expect("it ends");
        self.child.wait().expect("it ends");
    }
}

async fn position(address: SocketAddr) -> u64 {
    fetch_status_totals(address).await.expect("a status").position.number
}
