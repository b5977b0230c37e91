//! Checks of a settings file. Each error names the invalid field by its name in the file.

use std::collections::HashSet;
use std::net::SocketAddrV4;

use super::file::{self, Cluster, File};
use super::{Objective, Peer, Rates, Settings, SettingsError, zero_as_unlimited};
use crate::model::{Micros, Resources, Team, micros_from_seconds};
use crate::policy::Policy;

/// Range of numbers, including both ends.
struct Range {
    min: f64,
    max: f64,
}

/// Number of processor cores that a controller may have. With less than a thousandth of a core, a controller would
/// answer no request in time.
const CORES: Range = Range {
    min: 0.001,
    max: 1024.0,
};
/// Memory in MiB that a controller may hold. Less than the minimum has no room for the controller's sockets and one
/// response of the state service.
const MEGABYTES: Range = Range {
    min: 16.0,
    max: 1_048_576.0,
};
/// Maximum of any amount in a settings file.
const MAX_AMOUNT: f64 = 1e9;
/// Minimum value size of the state service. A value has to hold a job.
const MIN_VALUE_BYTES: usize = 2048;
/// Minimum number of operations per transaction. A takeover writes two keys in one transaction.
const MIN_TRANSACTION_OPERATIONS: usize = 2;
const BYTES_PER_KILOBYTE: f64 = 1024.0;

impl Settings {
    /// Parses and checks the text of a settings file. Also returns warnings about unusual but valid values. `file` is
    /// the name of the file in errors.
    pub fn parse(text: &str, file: &str) -> Result<(Settings, Vec<String>), SettingsError> {
        let contents = toml::from_str(text).map_err(|error| SettingsError::Parse {
            file: file.to_string(),
            reason: error.to_string().trim_end().to_string(),
        })?;
        validate(contents, file)
    }
}

/// Checks the contents of a settings file. Also returns warnings about unusual but valid values.
fn validate(contents: File, file: &str) -> Result<(Settings, Vec<String>), SettingsError> {
    let mut validation = Validation {
        file,
        warnings: Vec::new(),
    };
    let settings = validation.settings(contents)?;
    Ok((settings, validation.warnings))
}

struct Validation<'a> {
    /// Name of the file in errors.
    file: &'a str,
    warnings: Vec<String>,
}

// Checks of single values.
impl Validation<'_> {
    fn invalid<T>(&self, field: &str, reason: impl Into<String>) -> Result<T, SettingsError> {
        Err(SettingsError::Field {
            file: self.file.to_string(),
            field: field.to_string(),
            reason: reason.into(),
        })
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddrV4, SettingsError> {
        match text.parse::<SocketAddrV4>() {
            Ok(address) if address.port() != 0 => Ok(address),
            _ => self.invalid(
                field,
                format!("{text:?} is not an IPv4 address with a port"),
            ),
        }
    }

    fn amount(&self, field: &str, number: f64) -> Result<f64, SettingsError> {
        if number.is_finite() && (0.0..=MAX_AMOUNT).contains(&number) {
            Ok(number)
        } else {
            self.invalid(field, format!("{number} is not between 0 and {MAX_AMOUNT}"))
        }
    }

    fn positive(&self, field: &str, number: f64) -> Result<f64, SettingsError> {
        if self.amount(field, number)? > 0.0 {
            Ok(number)
        } else {
            self.invalid(field, "must be above zero")
        }
    }

    fn duration(&self, field: &str, seconds: f64) -> Result<Micros, SettingsError> {
        self.positive(field, seconds).map(micros_from_seconds)
    }

    fn in_range(&self, field: &str, number: f64, range: &Range) -> Result<f64, SettingsError> {
        let Range { min, max } = range;
        if (*min..=*max).contains(&number) {
            Ok(number)
        } else {
            self.invalid(field, format!("{number} is not between {min} and {max}"))
        }
    }

    fn name(&self, field: &str, name: &str) -> Result<String, SettingsError> {
        if name.is_empty() {
            self.invalid(field, "must not be empty")
        } else {
            Ok(name.to_string())
        }
    }

    /// Returns the smaller of a current limit of the state service and the next limit, if the next limit is known. The
    /// state service switches to its next limits without notice, so a write that would exceed the next limit is never
    /// made.
    fn state_limit(
        &self,
        name: &str,
        current: f64,
        next: Option<f64>,
    ) -> Result<f64, SettingsError> {
        let current = self.positive(&format!("cluster.state.{name}"), current)?;
        let Some(next) = next else {
            return Ok(current);
        };
        let next = self.positive(&format!("cluster.state.next.{name}"), next)?;
        Ok(next.min(current))
    }
}

// Checks of whole sections, in the order in which their errors are reported.
impl Validation<'_> {
    fn settings(&mut self, contents: File) -> Result<Settings, SettingsError> {
        let name = self.name("host_name", &contents.host_name)?;
        let peers = self.peers(&name, &contents.siblings)?;
        self.warn_about_unlisted_zones(&contents);
        let cluster = &contents.cluster;
        let teams = self.teams(&cluster.teams)?;
        let objectives = self.objectives(&cluster.objectives)?;
        let Cluster {
            workers,
            state,
            cloud,
            quota,
            ..
        } = cluster;
        let next = &state.next;
        let settings = Settings {
            name,
            zone: contents.area,
            listen: self.address("bind", &contents.bind)?,
            cluster_listen: self.address("cluster_listen", &contents.cluster_listen)?,
            peers,
            cloud_addr: self.address("outside.cloud", &contents.outside.cloud)?,
            store_addr: self.address("outside.state", &contents.outside.state)?,
            zones: cluster.zones.clone(),
            teams,
            objectives,
            heartbeat_interval: self.duration("cluster.workers.report_s", workers.report_s)?,
            lease_duration: self.duration("cluster.workers.lease_s", workers.lease_s)?,
            gang_wait_timeout: self.duration("cluster.workers.gang_wait_s", workers.gang_wait_s)?,
            gang_peer_timeout: self.duration("cluster.workers.gang_peer_s", workers.gang_peer_s)?,
            cancel_timeout: self.duration("cluster.workers.cancel_s", workers.cancel_s)?,
            store_rates: self.rates(state, None, None)?,
            next_store_rates: self.rates(state, next.rps, next.write_rps)?,
            max_value_bytes: self.value_bytes(state)?,
            max_transaction_operations: self.state_limit("txn_ops", state.txn_ops, next.txn_ops)?
                as usize,
            cloud_rps: self.positive("cluster.cloud.rps", cloud.rps)?,
            max_listing_lag: micros_from_seconds(
                self.amount("cluster.cloud.list_lag_s", cloud.list_lag_s)?,
            ),
            max_connections: self
                .positive("cluster.quota.max_connections", quota.max_connections)?
                as usize,
            memory_bytes: self.memory_bytes(quota)?,
            cores: self.cores(quota)?,
            policy: Policy::default(),
            ledger: None,
        };
        self.check_combinations(&settings)?;
        Ok(settings)
    }

    fn peers(
        &self,
        own_name: &str,
        siblings: &[file::Sibling],
    ) -> Result<Vec<Peer>, SettingsError> {
        let mut names = HashSet::from([own_name]);
        let mut peers = Vec::new();
        for (index, sibling) in siblings.iter().enumerate() {
            let field = |name: &str| format!("siblings[{index}].{name}");
            let name = sibling.host_name.as_str();
            if name == own_name {
                return self.invalid(&field("host_name"), "is this controller's own name");
            }
            if !names.insert(name) {
                return self.invalid(&field("host_name"), format!("{name:?} appears twice"));
            }
            peers.push(Peer {
                name: self.name(&field("host_name"), name)?,
                zone: sibling.area.clone(),
                addr: self.address(&field("peer_addr"), &sibling.peer_addr)?,
            });
        }
        Ok(peers)
    }

    fn warn_about_unlisted_zones(&mut self, contents: &File) {
        let zones = &contents.cluster.zones;
        if zones.is_empty() {
            return;
        }
        let own = std::iter::once((&contents.host_name, &contents.area));
        let siblings = contents.siblings.iter();
        let controllers = own.chain(siblings.map(|sibling| (&sibling.host_name, &sibling.area)));
        for (name, zone) in controllers.filter(|(_, zone)| !zones.contains(zone)) {
            self.warnings.push(format!(
                "controller {name} is in the unlisted zone {zone:?}"
            ));
        }
    }

    fn teams(&mut self, entries: &[file::Team]) -> Result<Vec<Team>, SettingsError> {
        let mut teams: Vec<Team> = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let field = |name: &str| format!("cluster.teams[{index}].{name}");
            if teams.iter().any(|team| team.name == entry.name) {
                return self.invalid(&field("name"), format!("{:?} appears twice", entry.name));
            }
            let team = Team {
                name: self.name(&field("name"), &entry.name)?,
                guarantee: Resources::new(
                    self.amount(&field("cpus"), entry.cpus)?,
                    self.amount(&field("gpus"), entry.gpus)?,
                    0.0,
                ),
                limit: zero_as_unlimited(Resources::new(
                    self.amount(&field("cpus_max"), entry.cpus_max)?,
                    self.amount(&field("gpus_max"), entry.gpus_max)?,
                    0.0,
                )),
                is_removed: false,
            };
            if !Team::fits_within(&team.limit, &Resources::default(), &team.guarantee) {
                let warning = format!("team {}: the guarantee is above the limit", entry.name);
                self.warnings.push(warning);
            }
            teams.push(team);
        }
        if teams.is_empty() {
            let warning = "no teams are configured: every submission will be refused";
            self.warnings.push(warning.into());
        }
        Ok(teams)
    }

    fn objectives(&self, entries: &[file::Objective]) -> Result<Vec<Objective>, SettingsError> {
        let mut objectives = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let field = |name: &str| format!("cluster.objectives[{index}].{name}");
            objectives.push(Objective {
                kind: entry.kind.clone(),
                class: entry.class.clone(),
                within: micros_from_seconds(self.amount(&field("within_s"), entry.within_s)?),
                share: self.amount(&field("share"), entry.share)?,
                deadline_factor: self.amount(&field("times"), entry.times)?,
            });
        }
        Ok(objectives)
    }

    fn rates(
        &self,
        state: &file::State,
        next_requests: Option<f64>,
        next_changes: Option<f64>,
    ) -> Result<Rates, SettingsError> {
        Ok(Rates {
            requests: self.state_limit("rps", state.rps, next_requests)?,
            changes: self.state_limit("write_rps", state.write_rps, next_changes)?,
        })
    }

    fn value_bytes(&self, state: &file::State) -> Result<usize, SettingsError> {
        let kilobytes = self.state_limit("value_kb", state.value_kb, state.next.value_kb)?;
        Ok((kilobytes * BYTES_PER_KILOBYTE) as usize)
    }

    fn memory_bytes(&self, quota: &file::Quota) -> Result<usize, SettingsError> {
        let megabytes = self.in_range("cluster.quota.memory_mb", quota.memory_mb, &MEGABYTES)?;
        Ok((megabytes * BYTES_PER_KILOBYTE * BYTES_PER_KILOBYTE) as usize)
    }

    fn cores(&self, quota: &file::Quota) -> Result<Option<f64>, SettingsError> {
        quota
            .cores
            .map(|cores| self.in_range("cluster.quota.cores", cores, &CORES))
            .transpose()
    }

    /// Checks values that depend on each other, and values that are derived from several fields.
    fn check_combinations(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        if settings.max_value_bytes < MIN_VALUE_BYTES {
            return self.invalid("cluster.state.value_kb", "must be at least 2 to hold a job");
        }
        if settings.max_transaction_operations < MIN_TRANSACTION_OPERATIONS {
            return self.invalid(
                "cluster.state.txn_ops",
                "must be at least 2: a takeover writes two keys at once",
            );
        }
        if settings.cancel_timeout < settings.lease_duration {
            let warning =
                "cancel_s is below lease_s: a silent machine may keep cancelled tasks too long";
            self.warnings.push(warning.into());
        }
        Ok(())
    }
}
