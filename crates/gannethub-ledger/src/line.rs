//! The lines of the ledger and how they are written.
//!
//! A line is a JSON array of its number, its kind, what it says, and its tie to the line before. It is tied as it
//! is written here, so what the state service does to white space or to the order of keys does not matter.
//! There are no fractions in it: times are microseconds, amounts thousandths, prices millionths.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Micros;
use crate::chain::{LineMac, SigningKey};
use crate::meter::StageTimes;

/// CPUs, GPUs and memory of one task, in thousandths (of a CPU, a GPU and a GB).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ResourceAmounts(pub u64, pub u64, pub u64);

/// Why an attempt's place came free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    Done,
    Stopped,
    PeersGone,
    Alone,
    Error,
    NoRoom,
    Busy,
    Unknown,
    /// A reason that the protocol did not have.
    Other,
    /// Its worker no longer shows it.
    Missing,
    /// Its worker's session ended, or its lease ran out.
    Lease,
    /// Its machine was returned or is gone.
    Machine,
}

/// What an attempt's run was good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Usefulness {
    /// It was done, or is a replica: all of its run counts.
    Useful,
    /// Its progress was saved.
    Saved,
    /// What it did since its last checkpoint, if it has any, is to be done again.
    Lost,
}

/// One attempt of one task: a charged line of its own, though it may be written beside others like it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
    /// Time of day when its place was taken.
    pub begin: Micros,
    pub stage_times: StageTimes,
    /// How far the time at its worker may be off.
    pub max_error: Micros,
    pub is_estimate: bool,
}

/// An entry as it is kept: its task, its attempt and begin from the line's least ones on, its machine, its times
/// up to the last that is not zero, and twice the bound, plus one for an estimate. Pages are small.
type EntryWire = (u32, u64, String, Micros, Vec<Micros>, u64);

impl Entry {
    /// Time of day when its place was known to be free.
    pub fn end(&self) -> Micros {
        self.begin.saturating_add(self.stage_times.held())
    }

    /// What it takes in a line, with the comma; less where attempts and begins are kept as differences.
    pub(crate) fn most_bytes(&self) -> usize {
        serde_json::to_string(&self.wire((0, 0))).map_or(0, |text| text.len() + 1)
    }

    fn wire(&self, (attempt, begin): (u64, Micros)) -> EntryWire {
        let used = self
            .stage_times
            .0
            .iter()
            .rposition(|t| *t > 0)
            .map_or(0, |i| i + 1);
        let spent = self.stage_times.0[..used].to_vec();
        let bound = self.max_error.saturating_mul(2) | u64::from(self.is_estimate);
        let machine = self.machine.clone();
        (
            self.task,
            self.attempt - attempt,
            machine,
            self.begin - begin,
            spent,
            bound,
        )
    }

    fn read(wire: EntryWire, least: (u64, Micros)) -> Option<Entry> {
        let (task, attempt, machine, begin, times, bound) = wire;
        let mut spent = StageTimes::default();
        spent.0.get_mut(..times.len())?.copy_from_slice(&times);
        Some(Entry {
            task,
            attempt: attempt.checked_add(least.0)?,
            machine,
            begin: begin.checked_add(least.1)?,
            stage_times: spent,
            max_error: bound / 2,
            is_estimate: bound % 2 == 1,
        })
    }
}

/// What attempts that share a line have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChargeGroup {
    pub team: String,
    pub class: String,
    pub job: String,
    pub resources: ResourceAmounts,
    /// The machine's type, zone and kind.
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Its price an hour then, in millionths.
    pub price: u64,
    pub reason: Reason,
    pub usefulness: Usefulness,
}

/// Charged attempts of one job that ran on machines of one kind and ended alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    pub group: ChargeGroup,
    pub entries: Vec<Entry>,
}

/// A controller began to keep the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerChange {
    pub term: u64,
    pub owner: String,
    pub at: Micros,
    /// It knew of everything that was open under the leader before it.
    pub complete: bool,
}

/// A machine was given up of which nobody knows what it held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnmeteredInterval {
    pub machine: String,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    /// From when nobody knows, until when it was given up.
    pub from: Micros,
    pub to: Micros,
}

/// The first line of a balance: what all lines up to and without `upto` come to follows in `parts` lines.
/// Pages before `kept` were folded into it and may be gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Balance {
    pub upto: u64,
    pub parts: u32,
    pub kept: u64,
    pub at: Micros,
}

/// What one team's jobs of one class come to, as part of a balance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancePart {
    pub team: String,
    pub class: String,
    pub entries: u64,
    /// Time in each stage, times the need: CPUs, GPUs and memory, each in hexadecimal.
    pub amounts: Vec<u128>,
    /// Decayed usage and the half-life it goes by.
    pub half_life: Micros,
    pub decayed: Vec<(u64, u128)>,
}

/// Puts a balance together from the lines that it was written in. Its keeper may have ended amid it: then what
/// follows is something else, and the next keeper writes another.
#[derive(Debug, Default)]
pub struct BalanceAssembler {
    missing: u32,
    parts: Vec<BalancePart>,
}

impl BalanceAssembler {
    /// Takes the next line; all parts, once the last one has come.
    pub fn take(&mut self, body: &LineBody) -> Option<Vec<BalancePart>> {
        match body {
            LineBody::Balance(b) => {
                *self = BalanceAssembler {
                    missing: b.parts,
                    parts: Vec::new(),
                }
            }
            LineBody::Part(p) if self.missing > 0 => {
                self.parts.push(p.clone());
                self.missing -= 1;
                return (self.missing == 0).then(|| std::mem::take(&mut self.parts));
            }
            _ => self.missing = 0,
        }
        None
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LineBody {
    Charge(Charge),
    OwnerChanged(OwnerChange),
    Unmetered(UnmeteredInterval),
    Balance(Balance),
    Part(BalancePart),
}

/// A line of the ledger, numbered from zero without gaps.
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
    /// The line without its tie, as it is tied. It always ends with a bracket.
    pub fn text(&self) -> String {
        let text = match &self.body {
            LineBody::Charge(c) => {
                let k = &c.group;
                let common: ChargeGroupWire = (
                    k.team.clone(),
                    k.class.clone(),
                    k.job.clone(),
                    k.resources,
                    k.machine_type.clone(),
                    k.zone.clone(),
                    k.spot,
                    k.price,
                    k.reason,
                    k.usefulness,
                );
                let attempt = c.entries.iter().map(|e| e.attempt).min().unwrap_or(0);
                let begin = c.entries.iter().map(|e| e.begin).min().unwrap_or(0);
                let least = (attempt, begin);
                let entries: Vec<EntryWire> = c.entries.iter().map(|e| e.wire(least)).collect();
                serde_json::to_string(&(self.number, "charge", common, least, entries))
            }
            LineBody::OwnerChanged(t) => {
                serde_json::to_string(&(self.number, "took", t.term, &t.owner, t.at, t.complete))
            }
            LineBody::Unmetered(g) => {
                let machine = (&g.machine, &g.flavor, &g.zone, g.spot);
                serde_json::to_string(&(self.number, "gap", machine, g.from, g.to))
            }
            LineBody::Balance(b) => {
                serde_json::to_string(&(self.number, "balance", b.upto, b.parts, b.kept, b.at))
            }
            LineBody::Part(p) => {
                let amounts: Vec<String> = p.amounts.iter().copied().map(to_hex).collect();
                let decayed: Vec<(u64, String)> =
                    p.decayed.iter().map(|d| (d.0, to_hex(d.1))).collect();
                let name = (&p.team, &p.class);
                let sums = (p.entries, amounts, p.half_life, decayed);
                serde_json::to_string(&(self.number, "part", name, sums))
            }
        };
        // Strings, whole numbers and flags always serialize.
        text.unwrap_or_default()
    }

    /// Reads a line and its MAC. `None`: it is not a line of this version.
    pub fn read(value: &Value) -> Option<(Line, LineMac)> {
        let (mac, items) = value.as_array()?.split_last()?;
        let mac = LineMac::parse(mac.as_str()?)?;
        let number = items.first()?.as_u64()?;
        let kind = items.get(1)?.as_str()?;
        let body = read_body(kind, &items[2..])?;
        Some((Line { number, body }, mac))
    }

    /// The line as it is kept, tied to the one before, and its tie.
    pub fn to_chained_text(&self, key: &SigningKey, before: &LineMac) -> (String, LineMac) {
        let mut text = self.text();
        let tie = before.next(key, &text);
        text.truncate(text.len().saturating_sub(1));
        (format!("{text},\"{tie}\"]"), tie)
    }

    /// When the last of what it tells of happened, if it tells of something that has a time.
    pub fn last_event_at(&self) -> Option<Micros> {
        match &self.body {
            LineBody::Charge(c) => c.entries.iter().map(Entry::end).max(),
            LineBody::OwnerChanged(t) => Some(t.at),
            LineBody::Unmetered(g) => Some(g.to),
            LineBody::Balance(b) => Some(b.at),
            LineBody::Part(_) => None,
        }
    }
}

/// Reads what a line of a kind says.
fn read_body(kind: &str, items: &[Value]) -> Option<LineBody> {
    match (kind, items) {
        ("charge", [group, least, entries]) => read_charge(group, least, entries),
        ("took", [term, owner, at, complete]) => Some(LineBody::OwnerChanged(OwnerChange {
            term: term.as_u64()?,
            owner: owner.as_str()?.to_string(),
            at: at.as_u64()?,
            complete: complete.as_bool()?,
        })),
        ("gap", [machine, from, to]) => {
            let (machine, flavor, zone, spot) = read_value(machine)?;
            Some(LineBody::Unmetered(UnmeteredInterval {
                machine,
                flavor,
                zone,
                spot,
                from: from.as_u64()?,
                to: to.as_u64()?,
            }))
        }
        ("balance", [upto, parts, kept, at]) => Some(LineBody::Balance(Balance {
            upto: upto.as_u64()?,
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
    let entries: Option<Vec<Entry>> = entries
        .into_iter()
        .map(|entry| Entry::read(entry, least))
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

/// The sums of a part of a balance as they are kept: entries, amounts, half-life and decayed usage.
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
