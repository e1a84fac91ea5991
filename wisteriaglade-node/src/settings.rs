//! The settings of one process, read from a YAML file.
//!
//! Unknown fields, values without a unit, addresses that do not parse and
//! timings that contradict each other are errors that name the file, the field
//! and what is allowed.

mod error;
mod limit;
mod listen;
mod operator;
mod replica;
mod timing;

use std::{collections::BTreeSet, fs, path::Path};

use serde::Deserialize;
use wisteriaglade_types::Name;

pub use self::{
    error::Error,
    limit::Limit,
    listen::{Advertise, Listen},
    operator::Operator,
    replica::{Local, Replica},
    timing::Timing,
};

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that a process is told about itself and its cluster.
///
/// # Example
///
/// ```
/// use wisteriaglade_node::Settings;
///
/// let text = "
/// host: caerdydd-1
/// data_centre: caerdydd
/// listen:
///   caller: 127.0.0.1:8080
///   peer: 127.0.0.1:7946
///   admin: 127.0.0.1:9090
/// cluster_key: only-for-this-example
/// replicas:
///   - { id: 1, peer: '127.0.0.1:7946' }
/// ";
/// let settings = Settings::parse("example", text)?;
/// assert_eq!(settings.host.as_str(), "caerdydd-1");
/// # Ok::<(), wisteriaglade_node::settings::Error>(())
/// ```
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this host, unique in the cluster.
    pub host: Name,
    /// The data centre in which this host stands.
    pub data_centre: Name,
    /// Where this process listens.
    pub listen: Listen,
    /// The secret that all processes of the cluster share.
    #[serde(default)]
    pub cluster_key: Option<String>,
    /// A file that holds the secret, in place of `cluster_key`.
    #[serde(default)]
    pub cluster_key_file: Option<std::path::PathBuf>,
    /// Every control replica of the cluster.
    pub replicas: Vec<Replica>,
    /// Which of them this process is, when it is one.
    #[serde(default)]
    pub replica: Option<Local>,
    /// Who may change rules and drain nodes.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Intervals and bounds of time.
    #[serde(default)]
    pub timing: Timing,
    /// Bounds of sizes and counts.
    #[serde(default)]
    pub limits: Limit,
    /// Record holders for each shard: 1 or 3.
    #[serde(default = "holders")]
    pub holders: usize,
    /// Shards of a new pool, a power of two.
    #[serde(default = "shards")]
    pub shards: u32,
    /// Where spans are exported to by OTLP over HTTP; none when absent.
    #[serde(default)]
    pub traces: Option<String>,
    /// The log filter, for example `info` or `wisteriaglade_node=debug`.
    #[serde(default = "log")]
    pub log: String,
    /// The admission policy: `current`, or `baseline` for comparisons.
    #[serde(default)]
    pub policy: Policy,
}

/// The admission policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// Adaptive limits, fair queues and a separate limit for long work.
    #[default]
    Current,
    /// First in first out with a fixed limit, to compare with.
    Baseline,
}

/// Three holders survive any one host and any one data centre.
const fn holders() -> usize {
    3
}

/// Enough to spread a pool of a dozen targets within a few per cent.
const fn shards() -> u32 {
    256
}

fn log() -> String {
    "info".to_owned()
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the field and what is allowed.
    pub fn read(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| Error::unreadable(&file, &error))?;
        Self::parse(&file, &text)
    }

    /// Checks settings that are already in memory. `file` is for messages.
    ///
    /// # Errors
    ///
    /// Names the file, the field and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = serde_yaml_ng::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(reader).map_err(|error| {
            Error::field(file, &error.path().to_string(), &error.inner().to_string())
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    /// The shared secret, from the settings or from its file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read.
    pub fn secret(&self) -> Result<String> {
        match (&self.cluster_key, &self.cluster_key_file) {
            (Some(key), _) => Ok(key.clone()),
            (None, Some(path)) => fs::read_to_string(path)
                .map_err(|error| Error::unreadable(&path.display().to_string(), &error)),
            (None, None) => Ok(String::new()),
        }
    }

    /// How this process holds records for others.
    pub(crate) fn holder(&self) -> wisteriaglade_once::holder::Config {
        wisteriaglade_once::holder::Config {
            memory: usize::try_from(self.limits.records.as_u64()).unwrap_or(usize::MAX),
            ..wisteriaglade_once::holder::Config::default()
        }
    }

    fn check(&self, file: &str) -> Result<()> {
        let fail = |field: &str, detail: &str| Err(Error::field(file, field, detail));
        if self.cluster_key.is_some() == self.cluster_key_file.is_some() {
            return fail(
                "cluster_key",
                "give exactly one of cluster_key and cluster_key_file",
            );
        }
        if !matches!(self.replicas.len(), 1 | 3 | 5 | 7) {
            return fail("replicas", "expected 1, 3, 5 or 7 control replicas");
        }
        let ids: BTreeSet<u64> = self.replicas.iter().map(|replica| replica.id).collect();
        if ids.len() != self.replicas.len() {
            return fail("replicas", "two control replicas have the same id");
        }
        if let Some(own) = &self.replica
            && !ids.contains(&own.id)
        {
            return fail("replica.id", "not among the ids of replicas");
        }
        if !matches!(self.holders, 1 | 3) {
            return fail("holders", "expected 1 or 3");
        }
        if !self.shards.is_power_of_two() || self.shards > 65_536 {
            return fail("shards", "expected a power of two up to 65536");
        }
        self.timing
            .check()
            .or_else(|(field, detail)| fail(&format!("timing.{field}"), &detail))?;
        self.limits
            .check()
            .or_else(|(field, detail)| fail(&format!("limits.{field}"), &detail))
    }
}
