//! The balancer: the program that the deploy file's `run` starts, from the root of the repository.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// prctl(2): the signal that a process gets once the thread that started it has ended.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

const SIGHUP: i32 = 1;

/// A free port of 127.0.0.1.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// A folder that is gone once this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("sableloom-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running balancer; it is killed when this is dropped.
pub struct Balancer {
    child: Child,
    pub log: PathBuf,
    address: SocketAddr,
    file: PathBuf,
}

impl Balancer {
    /// Starts `run` of deploy/balancer.toml, and waits until it is ready: GET /up is answered 200.
    pub fn start(
        root: &Path,
        folder: &Folder,
        name: &str,
        address: SocketAddr,
        discovery: SocketAddr,
        config: &str,
    ) -> Result<Self, String> {
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))
            .map_err(|e| format!("deploy file: {e}"))?;
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.split('"').next())
            .ok_or("no run in the deploy file")?;
        let file = folder.0.join(format!("{name}.json"));
        let log = folder.0.join(format!("{name}.log"));
        let tmp = folder.0.join(format!("{name}.tmp"));
        let write =
            |path: &Path, text: &str| fs::write(path, text).map_err(|e| format!("{path:?}: {e}"));
        write(&file, config)?;
        fs::create_dir_all(&tmp).map_err(|e| e.to_string())?;
        let out = fs::File::create(&log).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", run])
            .current_dir(root)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &file)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(out.try_clone().map_err(|e| e.to_string())?)
            .stderr(out)
            .process_group(0);
        // No balancer outlives its case, however that ends.
        // SAFETY: prctl(2) is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|e| format!("{run}: {e}"))?;
        let mut balancer = Self { child, log, address, file };
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if balancer.is_up() {
                return Ok(balancer);
            }
            if let Some(status) = balancer.ended() {
                return Err(format!("the balancer ended: {status}: {}", balancer.log_text()));
            }
            sleep(Duration::from_millis(20));
        }
        Err("the balancer is not ready after 30 s".into())
    }

    fn is_up(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream
            .write_all(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200"
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Replaces the file of the configuration, and sends SIGHUP.
    pub fn reload(&self, config: &str) -> std::io::Result<()> {
        let new = self.file.with_extension("new");
        fs::write(&new, config)?;
        fs::rename(&new, &self.file)?;
        self.signal(SIGHUP);
        Ok(())
    }

    fn signal(&self, signal: i32) {
        // SAFETY: kill(2) on the process that this case started and has not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// How it ended, if it did.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Anonymous resident memory in kB: without the program's own file, which is mapped.
    pub fn memory_kb(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("RssAnon:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
