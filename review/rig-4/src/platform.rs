//! The platform's side: the configuration of a balancer, and discovery as one service that works through calls in turn.

use std::fs;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::http::Connection;
use crate::record::Record;

/// One upstream of the list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub port: u16,
    pub phase: &'static str,
    pub cell: u32,
    /// When it last started, Unix time in ms; 0 for long ago.
    pub up_since_ms: u64,
}

impl Member {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"127.0.0.1:{}\",\"locality\":\"malaga\",\"flavor\":\"medium\",\"cell\":{},\
             \"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.port, self.cell, self.phase, self.up_since_ms
        )
    }
}

/// A list, or a change to one.
pub fn list(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!(
        "{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}",
        members.join(",")
    )
}

/// What a test sets of a balancer's configuration.
pub struct Settings<'a> {
    pub listen: u16,
    pub discovery: u16,
    pub balancers: u32,
    pub position: u32,
    pub known: &'a str,
}

/// Writes the file that `ROUTER_CONFIG` names: the settings of the example in WIRE, but that redemptions are keyed, in
/// groups by cell.
pub fn write_config(path: &Path, settings: &Settings<'_>) -> Result<(), String> {
    let Settings { listen, discovery, balancers, position, known } = settings;
    let text = format!(
        r#"{{"name":"n{position}","listen":"127.0.0.1:{listen}","discovery":"127.0.0.1:{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},"known":{known},
"settings":{{"Balancers":{balancers},"ClientHabits":{{"MarksRetry":true}},"CountedBy":"request","Family":"proxy",
"FamilyInfo":{{"WarmKeys":true}},"Layer":0,"MachineTypes":["large","medium","small"],"OverShareWorth":0.1,
"PolicyLimits":{{"Cancelling":true,"ConnectTimeout":120.0,"CpuUsPerRequest":0.0,"CpuUsPerS":33977,"Keepalive":30000.0,
"MaxAttempts":4,"MaxOpen":45303,"MaxRetryAfter":300.0,"PeerMessages":false,"Probes":false,"RetryAfter":true,
"SecondCopies":true,"StreamsPerConn":1}},"Position":{position},"Prices":{{"CrossZone":0.08}},"RegistryMode":"subscribe",
"Safety":{{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":24000.0,"ColdFrom":0.13,"DrainGrace":1000.0,"FallMultiple":3.0,
"TipAfter":1500.0}},"ScoringMix":{{"Whole":0.55}},
"Services":[{{"Aim":250.0,"Deadline":600.0,"Effect":"retryable","Group":"all","Importance":3.0,"LateValue":0.0,
"Name":"balance","Streaming":false,"Window":5000.0}},{{"Aim":300.0,"Deadline":600.0,"Effect":"dedup","Group":"cell",
"Importance":9.0,"LateValue":0.0,"Name":"redeem","Streaming":false,"Window":5000.0}}],
"Stats":{{"How":"silent","Names":[]}},"Tenants":[],"Tick":5.0,"Tiers":["points-web"],"Weights":"silent","Zone":0,
"Zones":["malaga"]}}}}"#
    );
    fs::write(path, text).map_err(|e| e.to_string())
}

/// A call that discovery got.
#[derive(Clone, Debug)]
pub struct Call {
    pub number: usize,
    /// When it came, in seconds.
    pub at: f64,
    /// How long it may wait, in seconds; `None` for the whole list.
    pub wait: Option<f64>,
    /// Whether it goes on a watch: it came within 200 ms of the last answer.
    pub continues: bool,
    pub after: Option<u64>,
}

#[derive(Default)]
struct State {
    revision: u64,
    members: Vec<Member>,
    /// The members that each later revision changed.
    changes: Vec<(u64, Member)>,
    calls: Vec<Call>,
    last_answer: Option<f64>,
    /// The calls whose watch has fallen silent.
    silent: Vec<usize>,
    /// When the balancer closed the connection of a silent call.
    given_up: Option<f64>,
    /// The revision that was answered last, and when.
    answered: Vec<(u64, f64)>,
}

/// Discovery, with how long a call waits for its turn and takes.
pub struct Discovery {
    state: Arc<Mutex<State>>,
    pub port: u16,
    record: Record,
}

impl Discovery {
    /// `turn` says how long each call that does not go on a watch takes, in seconds.
    pub fn start(
        members: Vec<Member>,
        record: &Record,
        turn: impl Fn(&Call) -> f64 + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let state = Arc::new(Mutex::new(State { revision: 1, members, ..State::default() }));
        let turn = Arc::new(turn);
        let (shared, log) = (state.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, record, turn) = (shared.clone(), log.clone(), turn.clone());
                thread::spawn(move || answer_calls(stream, &state, &record, &*turn));
            }
        });
        Self { state, port, record: record.clone() }
    }

    /// The last call that may wait for so many seconds and has no answer yet.
    pub fn open_watch(&self, least_wait: f64) -> Option<Call> {
        let state = self.state.lock().unwrap();
        let last = state.calls.last()?;
        let is_open = state.answered.last().is_none_or(|(_, at)| *at < last.at);
        (is_open && last.wait.is_some_and(|wait| wait >= least_wait)).then(|| last.clone())
    }

    /// The watch of this call falls silent.
    pub fn silence(&self, call: &Call) {
        self.record.line(format!("discovery: the watch of call {} falls silent", call.number));
        self.state.lock().unwrap().silent.push(call.number);
    }

    /// An upstream has gone, and another one serves in its place. Returns when.
    pub fn replace(&self, gone: &str, new: Member) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let (left, stay): (Vec<Member>, Vec<Member>) =
            std::mem::take(&mut state.members).into_iter().partition(|member| member.id == gone);
        state.members = stay;
        state.members.push(new.clone());
        let deleted = left.into_iter().map(|member| Member { phase: "DELETED", ..member });
        state.changes.extend(deleted.chain([new.clone()]).map(|member| (revision, member)));
        let at = self.record.now();
        self.record.line(format!(
            "discovery: {gone} is gone, {} of cell {} serves at its address, revision {revision}",
            new.id, new.cell
        ));
        at
    }

    /// When the balancer gave a silent call up.
    pub fn given_up(&self) -> Option<f64> {
        self.state.lock().unwrap().given_up
    }

    /// When this revision was first answered.
    pub fn told(&self, revision: u64) -> Option<f64> {
        let state = self.state.lock().unwrap();
        state.answered.iter().find(|(answered, _)| *answered >= revision).map(|(_, at)| *at)
    }
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn answer_calls(
    stream: TcpStream,
    state: &Mutex<State>,
    record: &Record,
    turn: &(dyn Fn(&Call) -> f64 + Send + Sync),
) {
    let mut connection = Connection::new(stream);
    while let Ok(request) = connection.read() {
        let target = request.first_line.split(' ').nth(1).unwrap_or_default().to_string();
        let call = {
            let mut state = state.lock().unwrap();
            let at = record.now();
            let call = Call {
                number: state.calls.len(),
                at,
                wait: parameter(&target, "wait_ms").map(|ms| ms as f64 / 1e3),
                continues: state.last_answer.is_some_and(|answer| at - answer <= 0.2),
                after: parameter(&target, "after"),
            };
            state.calls.push(call.clone());
            call
        };
        record.line(format!(
            "discovery: call {}: {target}, continues {}",
            call.number, call.continues
        ));
        if !call.continues {
            sleep(Duration::from_secs_f64(turn(&call)));
        }
        let end = record.now() + call.wait.unwrap_or(0.0);
        loop {
            let is_silent = state.lock().unwrap().silent.contains(&call.number);
            if is_silent {
                // Nothing more comes; until the balancer closes the connection.
                let _ = connection.read();
                let mut state = state.lock().unwrap();
                state.given_up = Some(record.now());
                record.line(format!("discovery: the balancer has given up call {}", call.number));
                return;
            }
            let has_news = state.lock().unwrap().revision > call.after.unwrap_or(0);
            if call.after.is_none() || has_news || record.now() >= end {
                break;
            }
            sleep(Duration::from_millis(1));
        }
        let (text, revision) = {
            let state = state.lock().unwrap();
            let text = match call.after {
                None => list(state.revision, true, &state.members),
                Some(after) => {
                    let newer = state.changes.iter().filter(|(revision, _)| *revision > after);
                    let members: Vec<Member> = newer.map(|(_, member)| member.clone()).collect();
                    list(state.revision, false, &members)
                }
            };
            (text, state.revision)
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        {
            let mut state = state.lock().unwrap();
            let at = record.now();
            state.last_answer = Some(at);
            state.answered.push((revision, at));
        }
        record.line(format!("discovery: answer to call {}: revision {revision}", call.number));
        if connection.stream.write_all((head + &text).as_bytes()).is_err() {
            return;
        }
    }
}
