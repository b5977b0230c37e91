//! The lines of the ledger and how they are written.
//!
//! A line is a JSON array of its number, its kind, what it says, and its tie to the line before. It is tied as it
//! is written here, so what the state service does to white space or to the order of keys does not matter.
//! There are no fractions in it: times are microseconds, amounts thousandths, prices millionths.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Micros;
use crate::chain::{Key, Tie};
use crate::meter::Spent;

/// CPUs, GPUs and memory of one task, in thousandths (of a CPU, a GPU and a GB).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Need(pub u64, pub u64, pub u64);

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
pub enum Worth {
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
    pub spent: Spent,
    /// How far the time at its worker may be off.
    pub bound: Micros,
    pub estimate: bool,
}

/// An entry as it is kept: its task, its attempt and begin from the line's least ones on, its machine, its times
/// up to the last that is not zero, and twice the bound, plus one for an estimate. Pages are small.
type EntryWire = (u32, u64, String, Micros, Vec<Micros>, u64);

impl Entry {
    /// Time of day when its place was known to be free.
    pub fn end(&self) -> Micros {
        self.begin.saturating_add(self.spent.held())
    }

    /// What it takes in a line, with the comma; less where attempts and begins are kept as differences.
    pub(crate) fn most_bytes(&self) -> usize {
        serde_json::to_string(&self.wire((0, 0))).map_or(0, |text| text.len() + 1)
    }

    fn wire(&self, (attempt, begin): (u64, Micros)) -> EntryWire {
        let used = self
            .spent
            .0
            .iter()
            .rposition(|t| *t > 0)
            .map_or(0, |i| i + 1);
        let spent = self.spent.0[..used].to_vec();
        let bound = self.bound.saturating_mul(2) | u64::from(self.estimate);
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
        let mut spent = Spent::default();
        spent.0.get_mut(..times.len())?.copy_from_slice(&times);
        Some(Entry {
            task,
            attempt: attempt.checked_add(least.0)?,
            machine,
            begin: begin.checked_add(least.1)?,
            spent,
            bound: bound / 2,
            estimate: bound % 2 == 1,
        })
    }
}

/// What attempts that share a line have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Common {
    pub team: String,
    pub class: String,
    pub job: String,
    pub need: Need,
    /// The machine's type, zone and kind.
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    /// Its price an hour then, in millionths.
    pub price: u64,
    pub reason: Reason,
    pub worth: Worth,
}

/// Charged attempts of one job that ran on machines of one kind and ended alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    pub common: Common,
    pub entries: Vec<Entry>,
}

/// A controller began to keep the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Took {
    pub term: u64,
    pub holder: String,
    pub at: Micros,
    /// It knew of everything that was open under the leader before it.
    pub complete: bool,
}

/// A machine was given up of which nobody knows what it held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
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
pub struct Part {
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
pub struct Parts {
    missing: u32,
    parts: Vec<Part>,
}

impl Parts {
    /// Takes the next line; all parts, once the last one has come.
    pub fn take(&mut self, body: &Body) -> Option<Vec<Part>> {
        match body {
            Body::Balance(b) => {
                *self = Parts {
                    missing: b.parts,
                    parts: Vec::new(),
                }
            }
            Body::Part(p) if self.missing > 0 => {
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
pub enum Body {
    Charge(Charge),
    Took(Took),
    Gap(Gap),
    Balance(Balance),
    Part(Part),
}

/// A line of the ledger, numbered from zero without gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub seq: u64,
    pub body: Body,
}

type CommonWire = (
    String,
    String,
    String,
    Need,
    String,
    String,
    bool,
    u64,
    Reason,
    Worth,
);

fn hex(x: u128) -> String {
    format!("{x:x}")
}

fn unhex(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}

impl Line {
    /// The line without its tie, as it is tied. It always ends with a bracket.
    pub fn text(&self) -> String {
        let text = match &self.body {
            Body::Charge(c) => {
                let k = &c.common;
                let common: CommonWire = (
                    k.team.clone(),
                    k.class.clone(),
                    k.job.clone(),
                    k.need,
                    k.flavor.clone(),
                    k.zone.clone(),
                    k.spot,
                    k.price,
                    k.reason,
                    k.worth,
                );
                let attempt = c.entries.iter().map(|e| e.attempt).min().unwrap_or(0);
                let begin = c.entries.iter().map(|e| e.begin).min().unwrap_or(0);
                let least = (attempt, begin);
                let entries: Vec<EntryWire> = c.entries.iter().map(|e| e.wire(least)).collect();
                serde_json::to_string(&(self.seq, "charge", common, least, entries))
            }
            Body::Took(t) => {
                serde_json::to_string(&(self.seq, "took", t.term, &t.holder, t.at, t.complete))
            }
            Body::Gap(g) => {
                let machine = (&g.machine, &g.flavor, &g.zone, g.spot);
                serde_json::to_string(&(self.seq, "gap", machine, g.from, g.to))
            }
            Body::Balance(b) => {
                serde_json::to_string(&(self.seq, "balance", b.upto, b.parts, b.kept, b.at))
            }
            Body::Part(p) => {
                let amounts: Vec<String> = p.amounts.iter().copied().map(hex).collect();
                let decayed: Vec<(u64, String)> =
                    p.decayed.iter().map(|d| (d.0, hex(d.1))).collect();
                let name = (&p.team, &p.class);
                let sums = (p.entries, amounts, p.half_life, decayed);
                serde_json::to_string(&(self.seq, "part", name, sums))
            }
        };
        // Strings, whole numbers and flags always serialize.
        text.unwrap_or_default()
    }

    /// Reads a line and its tie. `None`: it is not a line of this version.
    pub fn read(value: &Value) -> Option<(Line, Tie)> {
        let items = value.as_array()?;
        let (tie, items) = items.split_last()?;
        let tie = Tie::parse(tie.as_str()?)?;
        let seq = items.first()?.as_u64()?;
        let text = |i: usize| items.get(i).and_then(Value::as_str).map(str::to_string);
        let number = |i: usize| items.get(i).and_then(Value::as_u64);
        let body = match (items.get(1)?.as_str()?, items.len()) {
            ("charge", 5) => {
                let k: CommonWire = serde_json::from_value(items[2].clone()).ok()?;
                let (team, class, job, need, flavor, zone, spot, price, reason, worth) = k;
                let least: (u64, Micros) = serde_json::from_value(items[3].clone()).ok()?;
                let entries: Vec<EntryWire> = serde_json::from_value(items[4].clone()).ok()?;
                let read = entries.into_iter().map(|e| Entry::read(e, least));
                let entries = read.collect::<Option<Vec<_>>>()?;
                let common = Common {
                    team,
                    class,
                    job,
                    need,
                    flavor,
                    zone,
                    spot,
                    price,
                    reason,
                    worth,
                };
                Body::Charge(Charge { common, entries })
            }
            ("took", 6) => Body::Took(Took {
                term: number(2)?,
                holder: text(3)?,
                at: number(4)?,
                complete: items.get(5)?.as_bool()?,
            }),
            ("gap", 5) => {
                let machine: (String, String, String, bool) =
                    serde_json::from_value(items[2].clone()).ok()?;
                let (machine, flavor, zone, spot) = machine;
                Body::Gap(Gap {
                    machine,
                    flavor,
                    zone,
                    spot,
                    from: number(3)?,
                    to: number(4)?,
                })
            }
            ("balance", 6) => Body::Balance(Balance {
                upto: number(2)?,
                parts: u32::try_from(number(3)?).ok()?,
                kept: number(4)?,
                at: number(5)?,
            }),
            ("part", 4) => {
                let (team, class): (String, String) =
                    serde_json::from_value(items[2].clone()).ok()?;
                type Sums = (u64, Vec<String>, Micros, Vec<(u64, String)>);
                let (entries, amounts, half_life, decayed): Sums =
                    serde_json::from_value(items[3].clone()).ok()?;
                let amounts = amounts.iter().map(|a| unhex(a)).collect::<Option<_>>()?;
                let decayed = decayed
                    .iter()
                    .map(|d| Some((d.0, unhex(&d.1)?)))
                    .collect::<Option<_>>()?;
                Body::Part(Part {
                    team,
                    class,
                    entries,
                    amounts,
                    half_life,
                    decayed,
                })
            }
            _ => return None,
        };
        Some((Line { seq, body }, tie))
    }

    /// The line as it is kept, tied to the one before, and its tie.
    pub fn seal(&self, key: &Key, before: &Tie) -> (String, Tie) {
        let mut text = self.text();
        let tie = before.next(key, &text);
        text.truncate(text.len().saturating_sub(1));
        (format!("{text},\"{tie}\"]"), tie)
    }

    /// When the last of what it tells of happened, if it tells of something that has a time.
    pub fn at(&self) -> Option<Micros> {
        match &self.body {
            Body::Charge(c) => c.entries.iter().map(Entry::end).max(),
            Body::Took(t) => Some(t.at),
            Body::Gap(g) => Some(g.to),
            Body::Balance(b) => Some(b.at),
            Body::Part(_) => None,
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
