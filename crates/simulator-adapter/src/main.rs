//! `sableloom-sim`: hosts many balancers on a simulator's wire. It reads batches of messages, passes them to the
//! policies, and writes their actions; it decides nothing.
//!
//! Each line of standard input is a batch in JSON, and each is answered with one line. The adapter ends with its input,
//! or at the first line that it can't take, with a message on standard error.

mod error;
mod instance;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use error::{AdapterError, MessageError};
use instance::Instance;
use rustc_hash::FxHashMap;
use sableloom_types::Time;
use sableloom_types::settings::time_from_ms;
use wire::{Batch, BatchNumber, Event};

/// The balancers that run, by their numbers on the wire.
type Instances = FxHashMap<u64, Instance>;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sableloom-sim: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    let mut instances = Instances::default();
    let mut last_batch = None;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(AdapterError::Input)? == 0 {
            return Ok(());
        }
        if line.trim_ascii().is_empty() {
            continue;
        }
        let batch = parse(&line, last_batch)?;
        last_batch = Some(batch.batch);
        reply.clear();
        answer(&mut instances, &batch, &mut reply)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Output)?;
    }
}

fn parse(line: &[u8], last_batch: Option<u64>) -> Result<Batch<'_>, AdapterError> {
    serde_json::from_slice(line).map_err(|_| malformed(line, last_batch))
}

/// Reads the line again, more slowly, to name the batch and the field.
fn malformed(line: &[u8], last_batch: Option<u64>) -> AdapterError {
    let batch = match (serde_json::from_slice::<BatchNumber>(line), last_batch) {
        (Ok(number), _) => format!("batch {}", number.batch),
        (Err(_), Some(last)) => format!("the batch after {last}"),
        (Err(_), None) => "the first batch".to_string(),
    };
    let mut reader = serde_json::Deserializer::from_slice(line);
    let problem = match serde_path_to_error::deserialize::<_, Batch>(&mut reader) {
        Err(error) if error.path().iter().len() == 0 => error.into_inner().to_string(),
        Err(error) => format!("field `{}`: {}", error.path(), error.inner()),
        Ok(_) => "something follows the batch on its line".to_string(),
    };
    AdapterError::Malformed { batch, problem }
}

/// Writes the reply to a batch: the commands of all its messages, in order.
fn answer(
    instances: &mut Instances,
    batch: &Batch,
    reply: &mut Vec<u8>,
) -> Result<(), AdapterError> {
    reply.extend_from_slice(format!("{{\"batch\":{},\"cmds\":[", batch.batch).as_bytes());
    let empty = reply.len();
    let now = time_from_ms(batch.ts);
    for (index, event) in batch.msgs.iter().enumerate() {
        deliver(instances, now, event, reply).map_err(|error| AdapterError::Message {
            batch: batch.batch,
            index,
            error,
        })?;
    }
    if reply.len() > empty {
        // The comma behind the last command.
        reply.pop();
    }
    reply.extend_from_slice(b"]}\n");
    Ok(())
}

/// Passes a message to its instance. One that is down, or was never started, gets nothing.
fn deliver(
    instances: &mut Instances,
    now: Time,
    event: &Event,
    reply: &mut Vec<u8>,
) -> Result<(), MessageError> {
    match event {
        Event::Init(init) => {
            instances.insert(init.who, Instance::new(now, init, reply)?);
            return Ok(());
        }
        Event::Down(down) => {
            instances.remove(&down.who);
            return Ok(());
        }
        _ => {}
    }
    let Some(instance) = event.instance().and_then(|who| instances.get_mut(&who)) else {
        return Ok(());
    };
    match event {
        Event::Order(order) => instance.order(now, order, reply)?,
        Event::Result(result) => instance.result(now, result, reply)?,
        Event::TimeoutFired(timer) => instance.timer(now, timer.token, reply),
        Event::Left(left) => instance.client_left(now, &left.job, reply),
        Event::Membership(list) => instance.list_changed(now, list, reply),
        Event::Sampled(sample) => instance.health_checked(sample, reply),
        Event::Established(established) => instance.stream_started(now, &established.job, reply),
        Event::Memo(_) | Event::Init(_) | Event::Down(_) => {}
    }
    Ok(())
}
