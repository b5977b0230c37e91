//! Lines of the ledger and their stored form.
//!
//! A line is a JSON array of the line number, the kind, the contents, and the MAC that chains the line to the line
//! before. The MAC is computed over the text that this module produces, so the state service may change white space or
//! the order of keys without breaking the chain. A line contains no fractions: times are in microseconds, resource
//! amounts in thousandths, and prices in millionths.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Micros;
use crate::chain::{LineMac, SigningKey};
use crate::meter::StageTimes;

/// CPUs, GPUs and memory of one task, in thousandths of a CPU, of a GPU and of a GB.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ResourceAmounts(pub u64, pub u64, pub u64);

/// Reason why an attempt no longer holds its place on the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    Done,
    Stopped,
    /// Another task of the gang is gone.
    PeersGone,
    /// The gang was not complete in time.
    Alone,
    Error,
    /// The worker refused the launch: the machine lacks free resources.
    NoRoom,
    /// The worker refused the launch: another attempt of the task is on the machine.
    Busy,
    /// The worker refused the launch: the task does not exist.
    Unknown,
    /// The worker gave a reason that this version of the protocol does not define.
    Other,
    /// The worker no longer reports the attempt.
    Missing,
    /// The worker's session ended, or the worker's lease expired.
    Lease,
    /// The machine was returned or no longer exists.
    Machine,
}

/// Whether the run time of an attempt produced a lasting result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Usefulness {
    /// The attempt finished its task, or belongs to a service: all of its run time counts.
    Useful,
    /// The attempt's progress was saved.
    Saved,
    /// The work since the attempt's last checkpoint must be repeated, or all of its work if it has no checkpoint.
    Lost,
}

/// Charge of one attempt of one task. Entries with a common [`ChargeGroup`] may share a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptCharge {
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
    /// Time of day at which the attempt was placed on the machine.
    pub begin: Micros,
    pub stage_times: StageTimes,
    /// Maximum error of the time at the worker, in microseconds.
    pub max_error: Micros,
    /// Whether the begin or the end of the attempt was not observed.
    pub is_estimate: bool,
}

/// Stored form of an entry: the task; the attempt as its difference from the line's lowest attempt; the machine; the
/// begin as its difference from the line's earliest begin; the stage times up to the last one that is not zero; and
/// twice the maximum error, plus one for an estimate. The form is compact because pages are small.
type EntryWire = (u32, u64, String, Micros, Vec<Micros>, u64);

impl AttemptCharge {
    /// Returns the time of day at which the attempt was known to have released its place on the machine.
    pub fn end(&self) -> Micros {
        self.begin.saturating_add(self.stage_times.total())
    }

    /// Returns the maximum number of bytes that the entry takes in a line, including the comma. The stored form is
    /// shorter where the attempt and the begin are stored as differences.
    pub(crate) fn max_bytes(&self) -> usize {
        serde_json::to_string(&self.wire((0, 0))).map_or(0, |text| text.len() + 1)
    }

    fn wire(&self, (attempt, begin): (u64, Micros)) -> EntryWire {
        let used = self
            .stage_times
            .0
            .iter()
            .rposition(|t| *t > 0)
            .map_or(0, |i| i + 1);
        let times = self.stage_times.0[..used].to_vec();
        let bound = self.max_error.saturating_mul(2) | u64::from(self.is_estimate);
        let machine = self.machine.clone();
        (
            self.task,
            self.attempt - attempt,
            machine,
            self.begin - begin,
            times,
            bound,
        )
    }

    fn read(wire: EntryWire, least: (u64, Micros)) -> Option<AttemptCharge> {
        let (task, attempt, machine, begin, times, bound) = wire;
        let mut read_times = StageTimes::default();
        read_times.0.get_mut(..times.len())?.copy_from_slice(&times);
        Some(AttemptCharge {
            task,
            attempt: attempt.checked_add(least.0)?,
            machine,
            begin: begin.checked_add(least.1)?,
            stage_times: read_times,
            max_error: bound / 2,
            is_estimate: bound % 2 == 1,
        })
    }
}

/// Fields that all attempts in one charge line have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChargeGroup {
    pub team: String,
    pub class: String,
    pub job: String,
    pub resources: ResourceAmounts,
    pub machine_type: String,
    pub zone: String,
    /// Whether the machine was a spot instance.
    pub spot: bool,
    /// Price of the machine per hour at the time of the attempt, in millionths.
    pub price: u64,
    pub reason: Reason,
    pub usefulness: Usefulness,
}

/// Charged attempts of one job that ran on machines of the same type, zone, price and spot status and ended with the
/// same reason and usefulness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    pub group: ChargeGroup,
    pub entries: Vec<AttemptCharge>,
}

/// Record that a new leader began to write the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderChange {
    pub term: u64,
    pub owner: String,
    pub at: Micros,
    /// Whether the new leader knew of all usage that was open under the previous leader.
    pub has_all_open_usage: bool,
}

/// Record that a machine was given up although the leader did not know which attempts ran on the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnmeteredInterval {
    pub machine: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Start of the interval whose attempts are unknown.
    pub from: Micros,
    /// Time at which the machine was given up.
    pub to: Micros,
}

/// First line of a balance. The sums of all lines before line `end_line` follow in `parts` lines. Pages before `kept`
/// are folded into the balance and may be deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Balance {
    pub end_line: u64,
    pub parts: u32,
    pub kept: u64,
    pub at: Micros,
}

/// Sums of one team's jobs of one class, as part of a balance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancePart {
    pub team: String,
    pub class: String,
    pub entries: u64,
    /// Sums of the account, in thousandths times microseconds or in microseconds, as in [`Account`](crate::Account).
    /// The stored form is hexadecimal.
    pub amounts: Vec<u128>,
    /// Half-life of the decayed usage, in microseconds.
    pub half_life: Micros,
    /// Epochs and sums of the decayed usage.
    pub decayed: Vec<(u64, u128)>,
}

/// Assembles a balance from its lines. The leader may have ended before it wrote all lines of a balance: a line of
/// another kind then follows, the incomplete balance is dropped, and the next leader writes another balance.
#[derive(Debug, Default)]
pub struct BalanceAssembler {
    missing_parts: u32,
    parts: Vec<BalancePart>,
}

impl BalanceAssembler {
    /// Adds the next line. Returns all parts once the last part has been added.
    pub fn add_line(&mut self, body: &LineBody) -> Option<Vec<BalancePart>> {
        match body {
            LineBody::Balance(b) => {
                *self = BalanceAssembler {
                    missing_parts: b.parts,
                    parts: Vec::new(),
                }
            }
            LineBody::Part(p) if self.missing_parts > 0 => {
                self.parts.push(p.clone());
                self.missing_parts -= 1;
                return (self.missing_parts == 0).then(|| std::mem::take(&mut self.parts));
            }
            _ => self.missing_parts = 0,
        }
        None
    }
}

/// Contents of a line, by kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LineBody {
    Charge(Charge),
    LeaderChanged(LeaderChange),
    Unmetered(UnmeteredInterval),
    Balance(Balance),
    Part(BalancePart),
}

/// A line of the ledger. Lines are numbered from zero without gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub number: u64,
    pub body: LineBody,
}

type ChargeGroupWire = (
    String,
    String,
    String,
    ResourceAmounts,
    String,
    String,
    bool,
    u64,
    Reason,
    Usefulness,
);

fn to_hex(x: u128) -> String {
    format!("{x:x}")
}

fn parse_hex(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}

impl Line {
    /// Returns the text over which the MAC is computed: the line without its MAC. The text always ends with a
    /// bracket.
    pub fn text(&self) -> String {
        let text = match &self.body {
            LineBody::Charge(charge) => {
                let group = &charge.group;
                let group_wire: ChargeGroupWire = (
                    group.team.clone(),
                    group.class.clone(),
                    group.job.clone(),
                    group.resources,
                    group.machine_type.clone(),
                    group.zone.clone(),
                    group.spot,
                    group.price,
                    group.reason,
                    group.usefulness,
                );
                let attempt = charge.entries.iter().map(|e| e.attempt).min().unwrap_or(0);
                let begin = charge.entries.iter().map(|e| e.begin).min().unwrap_or(0);
                let least = (attempt, begin);
                let entries: Vec<EntryWire> =
                    charge.entries.iter().map(|e| e.wire(least)).collect();
                serde_json::to_string(&(self.number, "charge", group_wire, least, entries))
            }
            LineBody::LeaderChanged(change) => serde_json::to_string(&(
                self.number,
                "took",
                change.term,
                &change.owner,
                change.at,
                change.has_all_open_usage,
            )),
            LineBody::Unmetered(gap) => {
                let machine = (&gap.machine, &gap.machine_type, &gap.zone, gap.spot);
                serde_json::to_string(&(self.number, "gap", machine, gap.from, gap.to))
            }
            LineBody::Balance(b) => {
                serde_json::to_string(&(self.number, "balance", b.end_line, b.parts, b.kept, b.at))
            }
            LineBody::Part(part) => {
                let amounts: Vec<String> = part.amounts.iter().copied().map(to_hex).collect();
                let decayed: Vec<(u64, String)> =
                    part.decayed.iter().map(|d| (d.0, to_hex(d.1))).collect();
                let name = (&part.team, &part.class);
                let sums = (part.entries, amounts, part.half_life, decayed);
                serde_json::to_string(&(self.number, "part", name, sums))
            }
        };
        // Serialization cannot fail: the values are strings, whole numbers and booleans.
        text.unwrap_or_default()
    }

    /// Parses a line and its MAC. Returns `None` if the value is not a line of this version.
    pub fn read(value: &Value) -> Option<(Line, LineMac)> {
        let (mac, items) = value.as_array()?.split_last()?;
        let mac = LineMac::parse(mac.as_str()?)?;
        let number = items.first()?.as_u64()?;
        let kind = items.get(1)?.as_str()?;
        let body = read_body(kind, &items[2..])?;
        Some((Line { number, body }, mac))
    }

    /// Returns the stored form of the line, which ends with the MAC, and the MAC itself. `before` is the MAC of the
    /// previous line.
    pub fn to_chained_text(&self, key: &SigningKey, before: &LineMac) -> (String, LineMac) {
        let mut text = self.text();
        let mac = before.next(key, &text);
        text.truncate(text.len().saturating_sub(1));
        (format!("{text},\"{mac}\"]"), mac)
    }

    /// Returns the time of day of the latest event in the line, or `None` if the line contains no time.
    pub fn last_event_at(&self) -> Option<Micros> {
        match &self.body {
            LineBody::Charge(c) => c.entries.iter().map(AttemptCharge::end).max(),
            LineBody::LeaderChanged(t) => Some(t.at),
            LineBody::Unmetered(g) => Some(g.to),
            LineBody::Balance(b) => Some(b.at),
            LineBody::Part(_) => None,
        }
    }
}

/// Parses the contents of a line of the given kind.
fn read_body(kind: &str, items: &[Value]) -> Option<LineBody> {
    match (kind, items) {
        ("charge", [group, least, entries]) => read_charge(group, least, entries),
        ("took", [term, owner, at, has_all_open_usage]) => {
            Some(LineBody::LeaderChanged(LeaderChange {
                term: term.as_u64()?,
                owner: owner.as_str()?.to_string(),
                at: at.as_u64()?,
                has_all_open_usage: has_all_open_usage.as_bool()?,
            }))
        }
        ("gap", [machine, from, to]) => {
            let (machine, machine_type, zone, spot) = read_value(machine)?;
            Some(LineBody::Unmetered(UnmeteredInterval {
                machine,
                machine_type,
                zone,
                spot,
                from: from.as_u64()?,
                to: to.as_u64()?,
            }))
        }
        ("balance", [end_line, parts, kept, at]) => Some(LineBody::Balance(Balance {
            end_line: end_line.as_u64()?,
            parts: u32::try_from(parts.as_u64()?).ok()?,
            kept: kept.as_u64()?,
            at: at.as_u64()?,
        })),
        ("part", [names, sums]) => read_balance_part(names, sums),
        _ => None,
    }
}

fn read_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    T::deserialize(value).ok()
}

fn read_charge(group: &Value, least: &Value, entries: &Value) -> Option<LineBody> {
    let group: ChargeGroupWire = read_value(group)?;
    let (team, class, job, resources, machine_type, zone, spot, price, reason, usefulness) = group;
    let least: (u64, Micros) = read_value(least)?;
    let entries: Vec<EntryWire> = read_value(entries)?;
    let entries: Option<Vec<AttemptCharge>> = entries
        .into_iter()
        .map(|entry| AttemptCharge::read(entry, least))
        .collect();
    let group = ChargeGroup {
        team,
        class,
        job,
        resources,
        machine_type,
        zone,
        spot,
        price,
        reason,
        usefulness,
    };
    Some(LineBody::Charge(Charge {
        group,
        entries: entries?,
    }))
}

/// Stored form of the sums of a balance part: entries, amounts, half-life and decayed usage.
type BalancePartWire = (u64, Vec<String>, Micros, Vec<(u64, String)>);

fn read_balance_part(names: &Value, sums: &Value) -> Option<LineBody> {
    let (team, class) = read_value(names)?;
    let (entries, amounts, half_life, decayed): BalancePartWire = read_value(sums)?;
    let amounts: Option<Vec<u128>> = amounts.iter().map(|amount| parse_hex(amount)).collect();
    let decayed: Option<Vec<(u64, u128)>> = decayed
        .iter()
        .map(|(epoch, sum)| Some((*epoch, parse_hex(sum)?)))
        .collect();
    Some(LineBody::Part(BalancePart {
        team,
        class,
        entries,
        amounts: amounts?,
        half_life,
        decayed: decayed?,
    }))
}

#[cfg(test)]
pub(crate) mod tests;
