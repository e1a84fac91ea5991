//! The settings of one process, read from a YAML file.
//!
//! Unknown fields, values without a unit, addresses that cannot be parsed and
//! timings that contradict each other are errors. Each error names the file,
//! the field and the values that are allowed.

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

/// The settings of a process: its host, its addresses, its cluster and its
/// limits.
///
/// # Examples
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
    /// The data centre of this host.
    pub data_centre: Name,
    /// The addresses that this process binds and advertises.
    pub listen: Listen,
    /// The cluster key, a secret that all processes of the cluster share.
    #[serde(default)]
    pub cluster_key: Option<String>,
    /// The path of a file that holds the cluster key, in place of
    /// `cluster_key`.
    #[serde(default)]
    pub cluster_key_file: Option<std::path::PathBuf>,
    /// All control replicas of the cluster.
    pub replicas: Vec<Replica>,
    /// The control replica that this process runs, if it runs one.
    #[serde(default)]
    pub replica: Option<Local>,
    /// The operators, who may change rules, drain nodes and assert that a host
    /// is lost.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Limits of sizes and counts.
    #[serde(default)]
    pub limits: Limit,
    /// The number of record holders of each shard: 1 or 3.
    #[serde(default = "holders")]
    pub holders: usize,
    /// The number of shards of a new pool, a power of two up to 65,536.
    #[serde(default = "shards")]
    pub shards: u32,
    /// The endpoint to which spans are exported by OTLP over HTTP. No spans
    /// are exported when it is absent.
    #[serde(default)]
    pub traces: Option<String>,
    /// The log filter, for example `info` or `wisteriaglade_node=debug`.
    #[serde(default = "log")]
    pub log: String,
    /// The admission policy: `current`, or `baseline` for comparisons.
    #[serde(default)]
    pub policy: Policy,
}

/// The admission policy of the queue in front of the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// An adaptive concurrency limit, weighted fair queueing and a separate
    /// limit for long work.
    #[default]
    Current,
    /// First in, first out with a fixed concurrency limit, as a baseline for
    /// comparisons.
    Baseline,
}

/// The default of [`Settings::holders`]. Records on three holders survive the
/// loss of any one host and of any one data centre.
const fn holders() -> usize {
    3
}

/// The default of [`Settings::shards`], with which the load of a dozen targets
/// differs by a few per cent.
const fn shards() -> u32 {
    256
}

/// The default of [`Settings::log`].
fn log() -> String {
    "info".to_owned()
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the field and the values that are
    /// allowed.
    pub fn read(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| Error::unreadable(&file, &error))?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of a settings file. `file` is the name that
    /// errors show.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the field and the values that are
    /// allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let reader = serde_yaml_ng::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(reader).map_err(|error| {
            Error::field(file, &error.path().to_string(), &error.inner().to_string())
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Returns the cluster key, from the settings or from its file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read.
    pub fn secret(&self) -> Result<String> {
        match (&self.cluster_key, &self.cluster_key_file) {
            (Some(key), _) => Ok(key.clone()),
            (None, Some(path)) => fs::read_to_string(path)
                .map_err(|error| Error::unreadable(&path.display().to_string(), &error)),
            (None, None) => Ok(String::new()),
        }
    }

    /// The configuration for the records that this process holds for other
    /// nodes.
    pub(crate) fn holder(&self) -> wisteriaglade_once::holder::Config {
        wisteriaglade_once::holder::Config {
            memory: usize::try_from(self.limits.records.as_u64()).unwrap_or(usize::MAX),
            ..wisteriaglade_once::holder::Config::default()
        }
    }

    /// Checks constraints on single values and between values.
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
