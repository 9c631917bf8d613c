//! Measures the start of a control machine and the cost of a change, for several numbers of services.
//!
//! The command is `cargo run --release -p sableloom-control --example changes -- PROGRAM [SERVICES...]`. PROGRAM is the
//! path of the program `sableloom`. SERVICES are the numbers of services to measure with, by default 25, 250 and 2,500.
//! Each service has 48 servers and 84 routes.

use std::fmt::Write;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use sableloom_control::{change_file_name, fetch_status_totals};

const SERVERS_PER_SERVICE: usize = 48;
const ROUTES_PER_SERVICE: usize = 84;
/// Number of services in one file of the initial log. The size of such a file is about a megabyte.
const SERVICES_PER_FILE: usize = 50;
/// Number of services whose servers have the same second octet in their addresses. The third octet differs between
/// these services and stays below this number.
const SERVICES_PER_OCTET: usize = 250;
/// Step from the service of one change to that of the next one. It is prime, so that the changes reach every service
/// unless the number of services is a multiple of it.
const SERVICE_STEP: usize = 7919;
/// Number of changes that are written one by one, to measure for each the time until the control machine serves it.
const SINGLE_CHANGES: u64 = 200;
/// Number of changes that are written without a wait between them, to measure the processor time of them all.
const BATCHED_CHANGES: u64 = 1_000;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program =
        PathBuf::from(arguments.next().expect("the first argument is the path of the program"));
    let mut sizes: Vec<usize> =
        arguments.map(|size| size.parse().expect("SERVICES are numbers")).collect();
    if sizes.is_empty() {
        sizes = vec![25, 250, 2_500];
    }
    println!(
        "services   log MB  start s  resident MB  peak MB  one change ms: p50 p99  processor us a change"
    );
    for services in sizes {
        measure_log(&program, services);
    }
}

/// Measures a control machine whose log has this number of services, and prints one row.
fn measure_log(program: &Path, services: usize) {
    let folder = std::env::temp_dir().join(format!("sableloom-log-{}", std::process::id()));
    let log = folder.join("changes");
    fs::create_dir_all(&log).expect("the folder can be created");
    let settings = "listen = \"127.0.0.1:0\"\nchanges = \"changes\"\n";
    fs::write(folder.join("control.toml"), settings).expect("the file can be written");
    let (mut number, bytes) = write_initial_log(&log, services);

    let started = Instant::now();
    let mut process = ControlProcess::start(program, &folder.join("control.toml"));
    let start_time = started.elapsed();
    let resident_mb = process.status_kb("VmRSS:") / 1024;
    let peak_mb = process.status_kb("VmHWM:") / 1024;

    let mut change_times_ms: Vec<f64> = Vec::new();
    for _ in 0..SINGLE_CHANGES {
        number += 1;
        let started = Instant::now();
        write_weight_change(&log, number, services);
        process.await_position(number);
        change_times_ms.push(started.elapsed().as_secs_f64() * 1e3);
    }
    change_times_ms.sort_by(f64::total_cmp);
    let processor_time_before = process.processor_time();
    for _ in 0..BATCHED_CHANGES {
        number += 1;
        write_weight_change(&log, number, services);
    }
    process.await_position(number);
    let processor_time = process.processor_time() - processor_time_before;
    println!(
        "{services:8} {:8.1} {:8.2} {resident_mb:12} {peak_mb:8} {:19.2} {:.2} {:18.0}",
        bytes as f64 / 1e6,
        start_time.as_secs_f64(),
        change_times_ms[change_times_ms.len() / 2],
        change_times_ms[change_times_ms.len() * 99 / 100],
        processor_time.as_secs_f64() * 1e6 / BATCHED_CHANGES as f64
    );
    process.kill();
    fs::remove_dir_all(&folder).expect("the folder can be removed");
}

/// Writes the initial log, with [`SERVICES_PER_FILE`] services in each file. Returns the last number and the total size
/// in bytes.
fn write_initial_log(log: &Path, services: usize) -> (u64, usize) {
    let (mut number, mut bytes) = (0, 0);
    for first in (0..services).step_by(SERVICES_PER_FILE) {
        number += 1;
        let last = (first + SERVICES_PER_FILE).min(services);
        let mut text = format!("number = {number}\nepoch = 1\n");
        (first..last).for_each(|service| write_service(&mut text, service));
        let changes = (last - first) * (1 + SERVERS_PER_SERVICE + ROUTES_PER_SERVICE);
        _ = writeln!(text, "[end]\nchanges = {changes}");
        bytes += text.len();
        fs::write(log.join(change_file_name(number)), text).expect("the file can be written");
    }
    (number, bytes)
}

fn write_service(text: &mut String, service: usize) {
    _ = writeln!(text, "[[pool]]\nservice = \"service-{service}\"\nt_qos_ms = 200");
    for server in 0..SERVERS_PER_SERVICE {
        write_server(text, service, server, 1);
    }
    for route in 0..ROUTES_PER_SERVICE {
        _ = writeln!(
            text,
            "[[route]]\nservice = \"service-{service}\"\nname = \"route-{route}\"\nrank = 100\n\
             host = \"s{service}.example\"\npath.prefix = \"/part-{route}/\""
        );
    }
}

fn write_server(text: &mut String, service: usize, server: usize, weight: u64) {
    let (high, low) = (service / SERVICES_PER_OCTET, service % SERVICES_PER_OCTET);
    _ = writeln!(
        text,
        "[[server]]\nservice = \"service-{service}\"\nid = \"server-{server}\"\n\
         address = \"10.{high}.{low}.{server}:9000\"\nzone = \"zone-{}\"\nweight = {weight}",
        server % 10
    );
}

/// Writes a change file that changes the weight of one server.
fn write_weight_change(log: &Path, number: u64, services: usize) {
    let mut text = format!("number = {number}\nepoch = 1\n");
    let service = number as usize * SERVICE_STEP % services;
    write_server(&mut text, service, number as usize % SERVERS_PER_SERVICE, 1 + number % 100);
    text.push_str("[end]\nchanges = 1\n");
    let temporary = log.join(".new");
    fs::write(&temporary, text).expect("the file can be written");
    fs::rename(&temporary, log.join(change_file_name(number))).expect("the file can be renamed");
}

/// A running `sableloom control`.
struct ControlProcess {
    child: Child,
    address: SocketAddr,
    runtime: tokio::runtime::Runtime,
}

impl ControlProcess {
    /// Starts the program, and returns when it listens.
    fn start(program: &Path, settings: &Path) -> Self {
        let mut command = Command::new(program);
        command.args(["control", "--config"]).arg(settings).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            let address = line.split_once("control listening on ")?.1;
            address.parse().ok()
        });
        std::thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| eprintln!("{line}"))
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        Self {
            child,
            address: address.expect("the program prints its address"),
            runtime: runtime.expect("the runtime can be built"),
        }
    }

    /// Waits until the control machine serves the change with this number.
    fn await_position(&self, number: u64) {
        while self.runtime.block_on(last_change_number(self.address)) < number {
            std::thread::sleep(Duration::from_micros(200));
        }
    }

    /// A value of `/proc/PID/status` in kB.
    fn status_kb(&self, name: &str) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is running");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(name))
            .expect("the status has this value");
        line.trim().trim_end_matches(" kB").parse().expect("the value is a number")
    }

    /// The processor time that the process has used, in steps of 10 ms.
    fn processor_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("the process is running");
        // By proc(5), utime and stime are the 14th and the 15th field. The 2nd field may contain spaces.
        let fields = stat
            .rsplit(") ")
            .next()
            .expect("the line has fields after the name")
            .split(' ')
            .skip(11)
            .take(2);
        let ticks: u64 =
            fields.map(|field| field.parse::<u64>().expect("utime and stime are numbers")).sum();
        Duration::from_millis(10 * ticks)
    }

    fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }
}

/// The number of the last change that the control machine at `address` serves.
async fn last_change_number(address: SocketAddr) -> u64 {
    fetch_status_totals(address).await.expect("the status can be fetched").position.number
}
