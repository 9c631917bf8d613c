//! What the cases share: a record, processes, stand-in servers and a client, on loopback addresses and the real clock.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crate::disk::hold;

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the start of the case.
pub fn now_ms() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// `record.txt`: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        now_ms();
        Ok(Self(Arc::new(Mutex::new(File::create(folder.join("record.txt"))?))))
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:10.1} ms  {text}\n", now_ms());
        if let Ok(mut file) = self.0.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates it in the temporary folder.
    pub fn create(name: &str) -> io::Result<Self> {
        Self::create_in(&std::env::temp_dir(), name)
    }

    /// Creates it where files can be held (see `disk`): in the temporary folder, or else in memory.
    pub fn create_holdable(name: &str) -> io::Result<Self> {
        for base in [std::env::temp_dir(), "/dev/shm".into()] {
            let Ok(folder) = Self::create_in(&base, name) else { continue };
            let trial = folder.0.join("trial");
            if std::fs::write(&trial, "").is_ok() && hold(&trial).is_ok() {
                return Ok(folder);
            }
        }
        Err(io::Error::other("no folder whose files can be held"))
    }

    fn create_in(base: &Path, name: &str) -> io::Result<Self> {
        let folder = Self(base.join(format!("sableloom-{name}-{}", std::process::id())));
        std::fs::create_dir_all(&folder.0)?;
        Ok(folder)
    }

    /// Writes a file beside its place and renames it.
    pub fn write(&self, name: &str, text: &str) -> io::Result<()> {
        let new = self.0.join(format!("{name}.new"));
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.0.join(name))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A free port of a loopback address.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// The programs that run, by process id.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends this process and the programs that it started, should a case take too long.
pub fn end_after(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        let running = RUNNING.lock().map(|ids| ids.clone()).unwrap_or_default();
        for id in running {
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status();
        }
        eprintln!("out of time");
        std::process::exit(2);
    });
}

/// A program of the project, which is killed when this is dropped. Its standard error goes to a file.
pub struct Program {
    child: Child,
    log: PathBuf,
}

impl Program {
    pub fn start(root: &Path, arguments: &[&str], log: PathBuf) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(&log)?;
        let mut command = Command::new(root.join("target/release/sableloom"));
        command.args(arguments).current_dir(root).stdin(Stdio::null());
        command.stdout(output.try_clone()?).stderr(output);
        let child = command.spawn()?;
        if let Ok(mut running) = RUNNING.lock() {
            running.push(child.id());
        }
        Ok(Self { child, log })
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(kill).status();
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the log has this text.
    pub fn wait_for(&self, text: &str, ms: u64) -> bool {
        let end = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < end {
            if self.log().contains(text) {
                return true;
            }
            sleep_ms(5);
        }
        false
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|id| *id != self.child.id());
        }
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn wait_end(&mut self, ms: u64) -> bool {
        let end = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < end {
            if self.ended().is_some() {
                return true;
            }
            sleep_ms(5);
        }
        false
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first_byte: f64,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Reads one message with a `Content-Length` or without a body, or chunked. `None` at an end before its first byte.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if !buffer.is_empty() {
        message.first_byte = now_ms();
    }
    let mut chunk = [0; 65536];
    let mut more = |buffer: &mut Vec<u8>, message: &mut Message| -> io::Result<bool> {
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(false);
        }
        if buffer.is_empty() && message.first_byte == 0.0 {
            message.first_byte = now_ms();
        }
        buffer.extend_from_slice(&chunk[..read]);
        Ok(true)
    };
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if !more(buffer, &mut message)? {
            if buffer.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head: Vec<u8> = buffer.drain(..head_end).collect();
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    message.first_line = lines.next().unwrap_or_default().to_string();
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    let length: usize = message.field("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        if !more(buffer, &mut message)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

/// One request that a stand-in server got.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub first_byte: f64,
}

/// A stand-in server: so many cores, each of which works on one request at a time.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// A file of servers, as a pool reads it.
pub fn servers(of: &[&Server]) -> String {
    let entry = |server: &&Server| {
        format!("[[server]]\nid = \"{}\"\naddress = \"{}\"\n\n", server.name, server.address)
    };
    let entries: String = of.iter().map(entry).collect();
    format!("{entries}[end]\nservers = {}\n", of.len())
}

struct Cores {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Server {
    pub fn start(
        name: &str,
        address: &str,
        cores: usize,
        record: &Record,
        work_ms: u64,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let cores = Arc::new(Cores { free: Mutex::new(cores), freed: Condvar::new() });
        let shared = (name.to_string(), arrivals.clone(), record.clone());
        let (ended, connections) =
            (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<TcpStream>>>::default());
        let (is_ended, kept) = (ended.clone(), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let (Ok(copy), Ok(mut kept)) = (stream.try_clone(), kept.lock()) {
                    kept.push(copy);
                }
                let (shared, cores) = (shared.clone(), cores.clone());
                thread::spawn(move || {
                    let (name, arrivals, record) = shared;
                    let _ = serve(stream, &name, &arrivals, &record, &cores, work_ms);
                });
            }
        });
        Ok(Self { name: name.to_string(), address, arrivals, ended, connections })
    }

    /// Ends the server, as a process that ends: its connections are closed, and new ones are refused.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        sleep_ms(20);
        if let Ok(kept) = self.connections.lock() {
            kept.iter().for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().map(|a| a.clone()).unwrap_or_default()
    }
}

fn serve(
    mut stream: TcpStream,
    name: &str,
    arrivals: &Mutex<Vec<Arrival>>,
    record: &Record,
    cores: &Cores,
    work_ms: u64,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut buffer)? {
        let id = message.field("x-trace-id").to_string();
        if let Ok(mut arrivals) = arrivals.lock() {
            arrivals.push(Arrival { id: id.clone(), first_byte: message.first_byte });
        }
        record.line(&format!(
            "{name} got {id} ({}), first byte at {:.1}",
            message.first_line, message.first_byte
        ));
        {
            let mut free = cores.free.lock().map_err(|_| io::ErrorKind::Other)?;
            while *free == 0 {
                free = cores.freed.wait(free).map_err(|_| io::ErrorKind::Other)?;
            }
            *free -= 1;
        }
        sleep_ms(work_ms);
        if let Ok(mut free) = cores.free.lock() {
            *free += 1;
        }
        cores.freed.notify_one();
        let body = format!("{name} answers {id}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes())?;
    }
    Ok(())
}

/// The outcome of a request at its client.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent: f64,
    /// 0 without a whole answer.
    pub status: u16,
    pub body: String,
}

/// Sends one request on a connection of its own and waits for its answer.
pub fn ask(
    to: SocketAddr,
    method: &str,
    target: &str,
    id: &str,
    fields: &str,
    wait_ms: u64,
    record: &Record,
) -> Outcome {
    let sent = now_ms();
    let result = (|| -> io::Result<(u16, String)> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(wait_ms)))?;
        let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
        let text = format!(
            "{method} {target} HTTP/1.1\r\nHost: points.local\r\nX-Trace-Id: {id}\r\n{fields}{length}\r\n"
        );
        stream.write_all(text.as_bytes())?;
        let mut buffer = Vec::new();
        let message =
            read_message(&mut stream, &mut buffer)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = message.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        Ok((status, String::from_utf8_lossy(&message.body).into_owned()))
    })();
    let ended = now_ms();
    let (status, body) = result.unwrap_or_else(|e| (0, e.to_string()));
    record.line(&format!(
        "client: {id} sent at {sent:.1}, {status} after {:.1} ms: {body}",
        ended - sent
    ));
    Outcome { id: id.to_string(), sent, status, body }
}

/// The result of a case: 0 held, 1 broken, 2 could not run.
pub fn verdict(record: &Record, broken: &[String]) -> i32 {
    for line in broken {
        record.line(&format!("BROKEN: {line}"));
        println!("BROKEN: {line}");
    }
    let text = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    record.line(text);
    println!("{text}");
    i32::from(!broken.is_empty())
}

pub fn not_run(record: &Record, why: &str) -> i32 {
    record.line(&format!("the case could not run: {why}"));
    println!("the case could not run: {why}");
    2
}
