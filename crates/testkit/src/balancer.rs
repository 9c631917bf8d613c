//! The program under test as a process.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration;
use std::{env, fs, thread};

use serde_json::Value;
use socket2::{Domain, Socket, Type};

use crate::LONG;
use crate::connection::{Conn, Message};
use crate::files::{ConfigFile, Site, config};
use crate::peer::Peer;

/// Starts the program on a configuration text.
pub fn spawn(config: &str) -> (Child, BufReader<ChildStderr>) {
    spawn_on(&ConfigFile::of(config))
}

/// The program under test: cargo builds it beside the folder of the test that runs.
pub fn program() -> PathBuf {
    let test = env::current_exe().expect("a test program");
    let target = test.parent().and_then(Path::parent).expect("a folder of tests");
    target.join("sableloom")
}

fn spawn_on(file: &ConfigFile) -> (Child, BufReader<ChildStderr>) {
    spawn_command(Command::new(program()), file)
}

fn spawn_command(mut command: Command, file: &ConfigFile) -> (Child, BufReader<ChildStderr>) {
    command
        .env("ROUTER_CONFIG", &file.0)
        .env_remove("ROUTER_LISTEN")
        .env_remove("ROUTER_DISCOVERY");
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the balancer starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    // It has read its configuration once it says anything, or ends.
    log.fill_buf().expect("a log");
    (child, log)
}

/// A balancer as a process of its own.
pub struct Balancer {
    child: Child,
    log: Mutex<Receiver<String>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Balancer {
    /// A balancer with this configuration.
    pub fn start(config: Value) -> Self {
        Self::from_file(&ConfigFile::new(&config))
    }

    /// A balancer that reads this file, also later.
    pub fn from_file(file: &ConfigFile) -> Self {
        Self::listening(spawn_on(file))
    }

    /// A balancer of another program than the one under test.
    pub fn of(program: &Path, config: Value) -> Self {
        Self::listening(spawn_command(Command::new(program), &ConfigFile::new(&config)))
    }

    /// A balancer that the system lets hold no more descriptors than this.
    pub fn with_descriptors(config: Value, most: usize) -> Self {
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {most}; exec \"$0\"")]).arg(program());
        Self::listening(spawn_command(command, &ConfigFile::new(&config)))
    }

    fn listening((child, log): (Child, BufReader<ChildStderr>)) -> Self {
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        let mut said = Vec::new();
        let address = loop {
            let Ok(line) = lines.recv_timeout(LONG) else { panic!("no address in {said:?}") };
            if line.contains(" listening on ") {
                let address = line.rsplit(' ').next().and_then(|a| a.parse().ok());
                break address.unwrap_or_else(|| panic!("no address in {line:?}"));
            }
            said.push(line);
        };
        Self { child, log: Mutex::new(lines), address }
    }

    /// A balancer that serves a site.
    pub fn serving(site: &Site) -> Self {
        let mut command = Command::new(program());
        command.args(["serve", "--config"]).arg(site.path("site.toml"));
        command.env_remove("ROUTER_CONFIG").stderr(Stdio::piped());
        let mut child = command.spawn().expect("the balancer starts");
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let balancer = Self::listening((child, log));
        balancer.says(&["configuration", "in force"]);
        balancer
    }

    /// Waits until it logs a line that has all of these in it, and returns that line.
    pub fn says(&self, parts: &[&str]) -> String {
        let log = self.log.lock().expect("unpoisoned");
        let mut said = Vec::new();
        loop {
            let Ok(line) = log.recv_timeout(LONG) else {
                panic!("nothing said of {parts:?}, but {said:#?}");
            };
            if parts.iter().all(|part| line.contains(part)) {
                return line;
            }
            said.push(line);
        }
    }

    /// A balancer before these servers.
    pub fn before(upstreams: &[&Peer]) -> Self {
        Self::start(config(&upstreams.iter().map(|u| u.address).collect::<Vec<_>>()))
    }

    /// A new connection to it.
    pub fn client(&self) -> Conn {
        Conn::new(TcpStream::connect(self.address).expect("a connection"))
    }

    /// A new connection to it from this address.
    pub fn client_from(&self, source: std::net::Ipv4Addr) -> Conn {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from((source, 0)).into()).expect("a source address");
        socket.connect(&self.address.into()).expect("a connection");
        Conn::new(socket.into())
    }

    /// A new connection to it on which the system takes in no more than about this many bytes
    /// before they are read.
    pub fn client_that_buffers(&self, bytes: usize) -> Conn {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // Before the handshake, which tells the window.
        socket.set_recv_buffer_size(bytes).expect("a buffer");
        socket.connect(&self.address.into()).expect("a connection");
        Conn::new(socket.into())
    }

    /// Sends one request on a new connection and returns its answer.
    pub fn ask(&self, request: impl AsRef<[u8]>) -> Message {
        let mut client = self.client();
        client.write(request);
        client.message().expect("an answer")
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status().expect("kill");
        assert!(status.success());
    }

    /// Its exit code.
    pub fn await_exit(&mut self) -> Option<i32> {
        // Its log ends with it.
        loop {
            match self.log.lock().expect("unpoisoned").recv_timeout(LONG) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) => panic!("it does not end"),
            }
        }
        self.child.wait().expect("an end").code()
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Processor time that it has used, in steps of 10 ms.
    pub fn processor_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("a process");
        // proc(5): utime and stime are the 14th and 15th field; the 2nd may hold spaces.
        let fields = stat.rsplit(") ").next().expect("fields").split(' ').skip(11).take(2);
        let ticks: u64 = fields.map(|f| f.parse::<u64>().expect("ticks")).sum();
        Duration::from_millis(10 * ticks)
    }

    /// Descriptors that it holds now.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("a process").count()
    }

    /// The most memory that it has held, in MB.
    pub fn peak_memory_mb(&self) -> usize {
        self.status_kb("VmHWM:") / 1024
    }

    /// The memory that it holds now, in kB.
    pub fn resident_kb(&self) -> usize {
        self.status_kb("VmRSS:")
    }

    fn status_kb(&self, name: &str) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a process");
        let line = status.lines().find_map(|l| l.strip_prefix(name)).expect("a figure");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
