//! The configuration of a balancer that the platform starts, and the limits that follow from it.

use std::env;
use std::io;
use std::net::SocketAddr;

use sableloom_discovery::EndpointList;
use sableloom_types::settings::DeploymentSettings;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::connection_limits::ConnectionLimits;

/// Descriptors for all that is neither a client nor a server connection: standard streams, the listener, the event
/// queue, discovery.
pub(crate) const OTHER_SOCKETS: usize = 24;
/// The fewest descriptors and the least memory that the balancer can work with.
const MIN_SOCKETS: usize = 64;
const MIN_MEMORY_MB: usize = 24;
/// The environment variable that names the configuration, and those that replace fields of it.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";

/// Why there is no configuration.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    #[error("{CONFIG_VARIABLE} is not set")]
    NotSet,
    #[error("configuration {path}: {cause}")]
    Read { path: String, cause: io::Error },
    #[error("configuration {path}: field `{field}`: {cause}")]
    Parse { path: String, field: String, cause: serde_json::Error },
    #[error("configuration {path}: {cause}")]
    Field { path: String, cause: FieldError },
}

/// What is wrong with a field that can be parsed.
#[derive(Debug, Error)]
pub(crate) enum FieldError {
    #[error("field `{field}`: missing, and no {variable}")]
    Missing { field: &'static str, variable: &'static str },
    #[error("field `{field}`: no address: {value:?}")]
    NoAddress { field: &'static str, value: String },
    #[error("field `{field}`: {value} is under {min}")]
    TooSmall { field: &'static str, value: usize, min: usize },
    #[error("field `seed`: not up to 16 hex digits: {value:?}")]
    Seed { value: String },
}

/// The file, with its keys.
#[derive(Deserialize)]
struct ConfigFile {
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Option<EndpointList>,
    settings: DeploymentSettings,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

/// The configuration of one balancer.
pub(crate) struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// The endpoint list that is known at the start.
    pub known: Option<EndpointList>,
    pub settings: DeploymentSettings,
    pub limits: ConnectionLimits,
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names; other variables stand in for the addresses that it lacks.
    ///
    /// # Errors
    ///
    /// The file and the field that is wrong.
    pub(crate) fn load() -> Result<Self, ConfigError> {
        let (path, text) = read_file()?;
        Self::parse(&text, &path)
    }

    /// Parses this text; errors call it `path`.
    ///
    /// # Errors
    ///
    /// The field that is wrong.
    pub(crate) fn parse(text: &[u8], path: &str) -> Result<Self, ConfigError> {
        let file: ConfigFile = parse_json(text, path)?;
        Self::from_file(file).map_err(|cause| ConfigError::Field { path: path.into(), cause })
    }

    /// Reads the present address of discovery: the one field that a running balancer takes from a new file. Nothing else
    /// is parsed, so that whatever else is new or wrong in the file does not keep a balancer from the list.
    ///
    /// # Errors
    ///
    /// The file, or what is wrong with the field.
    pub(crate) fn reload_discovery() -> Result<SocketAddr, ConfigError> {
        #[derive(Deserialize)]
        struct DiscoveryAddress {
            discovery: SocketAddr,
        }
        let (path, text) = read_file()?;
        let file: DiscoveryAddress = parse_json(&text, &path)?;
        Ok(file.discovery)
    }

    fn from_file(file: ConfigFile) -> Result<Self, FieldError> {
        let Limits { memory_mb, sockets } = file.limits;
        check_minimum("limits.sockets", sockets, MIN_SOCKETS)?;
        check_minimum("limits.memory_mb", memory_mb, MIN_MEMORY_MB)?;
        let seed = parse_seed(&file.seed)?;
        Ok(Self {
            listen: parse_address("listen", file.listen, LISTEN_VARIABLE)?,
            discovery: parse_address("discovery", file.discovery, DISCOVERY_VARIABLE)?,
            seed,
            known: file.known,
            settings: file.settings,
            limits: ConnectionLimits::new(memory_mb, sockets, OTHER_SOCKETS),
        })
    }
}

/// The path and the text of the file that `ROUTER_CONFIG` names.
fn read_file() -> Result<(String, Vec<u8>), ConfigError> {
    let path = env::var(CONFIG_VARIABLE).map_err(|_| ConfigError::NotSet)?;
    match std::fs::read(&path) {
        Ok(text) => Ok((path, text)),
        Err(cause) => Err(ConfigError::Read { path, cause }),
    }
}

fn parse_json<T: DeserializeOwned>(text: &[u8], path: &str) -> Result<T, ConfigError> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| ConfigError::Parse {
        path: path.into(),
        field: error.path().to_string(),
        cause: error.into_inner(),
    })
}

/// The address of a field, or else of the environment variable.
fn parse_address(
    field: &'static str,
    value: Option<String>,
    variable: &'static str,
) -> Result<SocketAddr, FieldError> {
    let value = value.or_else(|| env::var(variable).ok());
    let value = value.ok_or(FieldError::Missing { field, variable })?;
    value.parse().map_err(|_| FieldError::NoAddress { field, value })
}

fn check_minimum(field: &'static str, value: usize, min: usize) -> Result<(), FieldError> {
    if value < min { Err(FieldError::TooSmall { field, value, min }) } else { Ok(()) }
}

fn parse_seed(hex: &str) -> Result<u64, FieldError> {
    match hex {
        "" => Ok(0),
        hex => u64::from_str_radix(hex, 16).map_err(|_| FieldError::Seed { value: hex.into() }),
    }
}
