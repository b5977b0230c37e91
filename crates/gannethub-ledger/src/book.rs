//! The ledger as its keeper writes it: charges in, pages out.
//!
//! There is one keeper at a time, the leader, and every page goes out in a transaction that fails once it is
//! deposed. A line is tied once, and is then part of its page for good: a page whose write had no answer is
//! written again with the same lines and perhaps more, so whichever of the two is carried out, and in whatever
//! order, no line is in the ledger twice. What is not known to be written stays open, and the attempt's worker
//! is not told to forget it: that is where a successor finds what this keeper could not write any more.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::account::Accounts;
use crate::audit::Page;
use crate::chain::{KeyRing, Tie};
use crate::line::{Balance, Body, Charge, Common, Entry, Line, Parts};
use crate::settings::Settings;
use crate::{Micros, SECOND};

/// What a page takes beside its lines.
const FRAME: usize = 160;
/// A balance may take one page in so many.
const BALANCE_SHARE: u64 = 8;
/// Marks of time in the head, for folding.
const MARKS: usize = 64;
/// Folded pages that are deleted in one transaction.
const DELETES: usize = 4;

/// What a charge's line takes beside what all its attempts have in common: its tie, and the least attempt and
/// begin.
const BESIDE: usize = 28 + 40;

/// What tells an attempt on a machine from every other: its job, task, number and machine.
pub type Key = (String, u32, u64, String);

/// A page in so many brings the head along.
const HEAD_EVERY: u64 = 8;

/// About where the ledger stands, in a value of its own; pages after `newest` may be there.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The newest page when this was written.
    pub newest: u64,
    /// A successor reads from this page on: it and later ones hold a whole balance, unless there is none yet,
    /// and every line that may be met again.
    pub from: u64,
    /// Pages before this one are folded and may be gone.
    pub kept: u64,
    /// Pages that began a balance, and when.
    #[serde(default)]
    pub marks: Vec<(u64, Micros)>,
}

/// Part of a transaction. The caller names the keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    pub page: u64,
    /// The version the page has to have; 0: it is new.
    pub stamp: u64,
    pub value: String,
    pub head: Option<Head>,
    /// Folded pages to be deleted.
    pub deletes: Vec<u64>,
}

/// A page of the ledger that is not as its keeper wrote it. It is kept, and another is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("page {0} of the ledger is not as it was written")]
pub struct Damaged(pub u64);

/// What a new keeper goes on with.
#[derive(Debug)]
pub struct Opened {
    pub book: Book,
    /// Attempts that the pages charge, as far as they may be met again.
    pub charged: HashSet<Key>,
    /// Pages that are not as they were written.
    pub damaged: Vec<Damaged>,
}

/// The page that lines are added to.
#[derive(Debug)]
struct Open {
    page: u64,
    first: u64,
    prev: Tie,
    key: String,
    stamp: u64,
    lines: Vec<String>,
    bytes: usize,
    /// Lines of it that are known to be written.
    written: usize,
}

#[derive(Debug)]
pub struct Book {
    settings: Arc<Settings>,
    keys: Arc<KeyRing>,
    limit: usize,
    /// Lines older than this are met no more.
    window: Micros,
    accounts: Accounts,
    next: u64,
    tie: Tie,
    open: Open,
    head: Head,
    /// The head has been written: the number that it names is used, whatever became of the page.
    begun: bool,
    /// The newest page when the head was last written.
    head_at: Option<u64>,
    /// Pages that are full, and when the last line of each was tied.
    full: VecDeque<(u64, Micros)>,
    notes: VecDeque<Body>,
    charges: BTreeMap<Common, Vec<(u64, Entry)>>,
    /// When the oldest of what is not tied yet came.
    waiting: Option<Micros>,
    tickets: u64,
    unwritten: BTreeSet<u64>,
    /// Tickets of lines that are tied and not known to be written, with the lines' numbers.
    tied: Vec<(u64, u64)>,
    in_flight: Option<usize>,
    in_flight_head: Option<u64>,
    unsure: bool,
    /// The page where the newest balance begins that is written as a whole.
    balance: Option<u64>,
    /// The one being written: its first page, the number of the line after it, and what it folds.
    coming: Option<(u64, u64, u64)>,
    /// Where the last balance began, and how many pages it took.
    began: u64,
    took: u64,
    deletes: VecDeque<u64>,
}

/// The attempts that a line charges.
fn keys_of(line: &Line) -> Vec<Key> {
    let Body::Charge(c) = &line.body else {
        return Vec::new();
    };
    let key = |e: &Entry| (c.common.job.clone(), e.task, e.attempt, e.machine.clone());
    c.entries.iter().map(key).collect()
}

impl Book {
    /// A book that goes on after `pages`: from the head's `from` to its `newest`, with their versions. `limit`:
    /// the most bytes of a value. `window`: for how long an attempt that was charged may be met again.
    pub fn open(
        settings: Arc<Settings>,
        keys: Arc<KeyRing>,
        limit: usize,
        window: Micros,
        head: Option<Head>,
        pages: &[(Page, u64)],
    ) -> Opened {
        let fresh = head.is_none();
        let mut head = head.unwrap_or_default();
        let told = head.newest;
        head.newest = pages.iter().map(|p| p.0.page).max().unwrap_or(0).max(told);
        let mut damaged = Vec::new();
        let mut book = Book {
            limit,
            window,
            accounts: Accounts::default(),
            next: 0,
            tie: Tie::default(),
            open: Open {
                page: head.newest,
                first: 0,
                prev: Tie::default(),
                key: keys.newest().id.clone(),
                stamp: 0,
                lines: Vec::new(),
                bytes: 0,
                written: 0,
            },
            begun: !fresh,
            head_at: (!fresh).then_some(told),
            full: VecDeque::new(),
            notes: VecDeque::new(),
            charges: BTreeMap::new(),
            waiting: None,
            tickets: 0,
            unwritten: BTreeSet::new(),
            tied: Vec::new(),
            in_flight: None,
            in_flight_head: None,
            unsure: false,
            balance: None,
            coming: None,
            began: head.from,
            took: 1,
            deletes: VecDeque::new(),
            settings,
            keys,
            head,
        };
        let mut charged = HashSet::new();
        let mut after = Vec::new();
        let mut balance = Parts::default();
        let mut last_fine = fresh;
        let by_number: HashMap<u64, &(Page, u64)> = pages.iter().map(|p| (p.0.page, p)).collect();
        let numbers = if fresh {
            0..0
        } else {
            book.head.from..book.head.newest + 1
        };
        for number in numbers {
            last_fine = false;
            let Some((page, stamp)) = by_number.get(&number) else {
                damaged.push(Damaged(number));
                continue;
            };
            let lines = page.read().unwrap_or_default();
            lines
                .iter()
                .for_each(|(line, _)| charged.extend(keys_of(line)));
            if !book.ties(page, &lines) {
                damaged.push(Damaged(number));
                book.next = book.next.max(page.first + page.lines.len() as u64);
                continue;
            }
            last_fine = true;
            let mut at = 0;
            for (line, tie) in lines {
                (book.next, book.tie) = (line.seq + 1, tie);
                at = line.at().unwrap_or(at);
                if let Body::Balance(_) = line.body {
                    book.began = number;
                }
                if let Some(parts) = balance.take(&line.body) {
                    book.accounts = Accounts::from_parts(&parts, &book.settings);
                    book.balance = Some(book.began);
                    book.took = number - book.began + 1;
                    after.clear();
                }
                after.push(line);
            }
            book.full.push_back((number, at));
            if number == book.head.newest {
                book.open.first = page.first;
                book.open.prev = Tie::parse(&page.prev).unwrap_or_default();
                book.open.key.clone_from(&page.key);
                book.open.stamp = *stamp;
                book.open.lines = page.lines.iter().map(ToString::to_string).collect();
                book.open.bytes = book.open.lines.iter().map(|l| l.len() + 1).sum();
                book.open.written = book.open.lines.len();
                book.full.pop_back();
            }
        }
        after
            .iter()
            .for_each(|line| book.accounts.line(line, &book.settings));
        if !last_fine || book.open.key != book.keys.newest().id {
            book.turn(0);
        }
        let folded = book.head.kept;
        book.deletes
            .extend(folded.saturating_sub(DELETES as u64)..folded);
        Opened {
            book,
            charged,
            damaged,
        }
    }

    /// Whether a page's lines are as they were tied, as far as the keys tell. One that cannot be read has none.
    fn ties(&self, page: &Page, lines: &[(Line, Tie)]) -> bool {
        let Some(mut tie) = Tie::parse(&page.prev).filter(|_| lines.len() == page.lines.len())
        else {
            return false;
        };
        let key = self.keys.get(&page.key);
        (page.first..).zip(lines).all(|(seq, (line, its))| {
            let before = std::mem::replace(&mut tie, *its);
            line.seq == seq && key.is_none_or(|k| before.next(k, &line.text()) == *its)
        })
    }

    pub fn settings(&self) -> &Arc<Settings> {
        &self.settings
    }

    /// What all charges come to, those that are not written yet among them.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Charges an attempt. The ticket tells later whether that is written.
    pub fn charge(&mut self, common: Common, entry: Entry, now: Micros) -> u64 {
        let charge = Charge {
            common,
            entries: vec![entry],
        };
        self.accounts.charge(&charge, &self.settings);
        self.tickets += 1;
        self.unwritten.insert(self.tickets);
        self.waiting.get_or_insert(now);
        let entries = charge.entries.into_iter().map(|e| (self.tickets, e));
        self.charges
            .entry(charge.common)
            .or_default()
            .extend(entries);
        self.tickets
    }

    /// Writes down something else.
    pub fn note(&mut self, body: Body, now: Micros) {
        self.notes.push_back(body);
        self.waiting.get_or_insert(now);
    }

    /// Whether the charge with this ticket is known to be written.
    pub fn is_written(&self, ticket: u64) -> bool {
        !self.unwritten.contains(&ticket)
    }

    /// Charges that are not known to be written.
    pub fn open_charges(&self) -> usize {
        self.unwritten.len()
    }

    /// What is to be written now, if anything is. `at`: the time of day; `room`: the most puts and deletes it
    /// may have. One write is under way at a time.
    pub fn write(&mut self, now: Micros, at: Micros, room: usize) -> Option<Write> {
        // A page may come with the head.
        if self.in_flight.is_some() || self.unsure || room < 2 {
            return None;
        }
        let due = self.waiting.is_some_and(|t| now >= t + self.settings.every);
        let left = self.open.lines.len() > self.open.written;
        if !due && !left {
            return None;
        }
        self.compose(at);
        if self.open.lines.len() == self.open.written {
            // Nothing more went in: the page is full.
            self.turn(at);
            self.compose(at);
        }
        self.in_flight = Some(self.open.lines.len());
        self.begun = true;
        let due = self
            .head_at
            .is_none_or(|n| self.open.page >= n + HEAD_EVERY);
        let tells = self.open.stamp == 0 && due;
        let deletes = match tells {
            true => Vec::new(),
            false => self
                .deletes
                .drain(..self.deletes.len().min(DELETES).min(room - 1))
                .collect(),
        };
        self.in_flight_head = tells.then_some(self.open.page);
        Some(Write {
            page: self.open.page,
            stamp: self.open.stamp,
            value: self.value(),
            head: tells.then(|| self.head.clone()),
            deletes,
        })
    }

    /// Begins the next page.
    fn turn(&mut self, at: Micros) {
        let stands = self.open.stamp > 0 || !self.open.lines.is_empty();
        if stands {
            self.full.push_back((self.open.page, at));
        }
        self.open = Open {
            page: self.open.page + u64::from(stands || self.begun),
            first: self.next,
            prev: self.tie,
            key: self.keys.newest().id.clone(),
            stamp: 0,
            lines: Vec::new(),
            bytes: 0,
            written: 0,
        };
        while self.full.front().is_some_and(|f| f.1 + self.window < at) {
            self.full.pop_front();
        }
        self.head.newest = self.open.page;
        let met = self.full.front().map_or(self.open.page, |f| f.0);
        self.head.from = met.min(self.balance.unwrap_or(self.head.from));
        let since = self.open.page.saturating_sub(self.began);
        let every = self.settings.balance_pages.max(BALANCE_SHARE * self.took);
        if at > 0 && self.coming.is_none() && since >= every && self.notes.is_empty() {
            self.balance_off(at);
        }
    }

    /// Puts a balance at the head of what is to be written: it speaks of all lines so far.
    fn balance_off(&mut self, at: Micros) {
        // What waits to be tied is in the accounts already, but comes after the balance.
        let mut before = self.accounts.clone();
        before.without(&self.charges, &self.settings);
        let parts = before.parts(&self.settings);
        if parts.is_empty() {
            return;
        }
        let old = |m: &&(u64, Micros)| m.1 + self.settings.retention < at;
        let folded = self.head.marks.iter().filter(old).map(|m| m.0).max();
        let kept = folded.filter(|_| self.settings.retention > 0).unwrap_or(0);
        let kept = kept.max(self.head.kept).min(self.head.from);
        let mark = Balance {
            upto: self.next,
            parts: parts.len() as u32,
            kept,
            at,
        };
        self.notes.push_back(Body::Balance(mark));
        self.notes.extend(parts.into_iter().map(Body::Part));
    }

    /// Ties what fits into the page.
    fn compose(&mut self, at: Micros) {
        while let Some(body) = self.notes.front() {
            let line = Line {
                seq: self.next,
                body: body.clone(),
            };
            if !self.add(&line) {
                return;
            }
            let Some(body) = self.notes.pop_front() else {
                return;
            };
            self.noted(&body, at);
        }
        while let Some((common, mut entries)) = self.charges.pop_first() {
            let most = self.fitting(&common, &entries);
            let rest = entries.split_off(most);
            if !rest.is_empty() {
                self.charges.insert(common.clone(), rest);
            }
            if entries.is_empty() {
                return;
            }
            let (tickets, entries): (Vec<u64>, Vec<Entry>) = entries.into_iter().unzip();
            let line = Line {
                seq: self.next,
                body: Body::Charge(Charge { common, entries }),
            };
            self.tied.extend(tickets.into_iter().map(|t| (line.seq, t)));
            self.add(&line);
        }
        self.waiting = None;
    }

    fn noted(&mut self, body: &Body, at: Micros) {
        match body {
            Body::Balance(b) => {
                self.began = self.open.page;
                self.coming = Some((self.began, self.next + u64::from(b.parts), b.kept));
                self.head.marks.push((self.open.page, at));
                if self.head.marks.len() > MARKS {
                    let mut odd = false;
                    self.head.marks.retain(|_| {
                        odd = !odd;
                        odd
                    });
                }
            }
            Body::Part(_) => self.took = self.open.page - self.began + 1,
            _ => {}
        }
    }

    /// How many of these the page has room for. A page takes one at least.
    fn fitting(&self, common: &Common, entries: &[(u64, Entry)]) -> usize {
        let empty = Charge {
            common: common.clone(),
            entries: Vec::new(),
        };
        let line = Line {
            seq: self.next,
            body: Body::Charge(empty),
        };
        let mut room = self.room().saturating_sub(line.text().len() + BESIDE);
        let mut n = 0;
        for (_, e) in entries {
            let bytes = e.most_bytes();
            if bytes > room {
                break;
            }
            room -= bytes;
            n += 1;
        }
        if self.open.lines.is_empty() {
            n.max(1)
        } else {
            n
        }
    }

    fn room(&self) -> usize {
        (self.limit - self.limit.min(FRAME)).saturating_sub(self.open.bytes)
    }

    /// Ties a line, if the page has room for it.
    fn add(&mut self, line: &Line) -> bool {
        let Some(key) = self.keys.get(&self.open.key) else {
            return false;
        };
        let (text, tie) = line.seal(key, &self.tie);
        if text.len() + 1 > self.room() && !self.open.lines.is_empty() {
            return false;
        }
        self.open.bytes += text.len() + 1;
        self.open.lines.push(text);
        self.tie = tie;
        self.next += 1;
        true
    }

    /// The open page as it is kept.
    fn value(&self) -> String {
        let o = &self.open;
        let lines = o.lines.join(",");
        format!(
            "{{\"page\":{},\"first\":{},\"prev\":\"{}\",\"key\":\"{}\",\"lines\":[{lines}]}}",
            o.page, o.first, o.prev, o.key
        )
    }

    /// The write under way was carried out, at this version. Returns the tickets of what is now written.
    pub fn written(&mut self, stamp: u64) -> Vec<u64> {
        let Some(lines) = self.in_flight.take() else {
            return Vec::new();
        };
        self.open.stamp = stamp;
        self.head_at = self.head_at.max(self.in_flight_head.take());
        self.settle(lines)
    }

    fn settle(&mut self, lines: usize) -> Vec<u64> {
        self.open.written = self.open.written.max(lines);
        let upto = self.open.first + self.open.written as u64;
        if let Some((page, _, kept)) = self.coming.take_if(|c| c.1 <= upto) {
            // Only now may a successor begin with it, and what it folds be deleted.
            self.balance = Some(page);
            self.deletes.extend(self.head.kept..kept);
            self.head.kept = kept;
            self.head.marks.retain(|m| m.0 >= kept);
        }
        let (done, left) = self.tied.iter().partition(|(seq, _)| *seq < upto);
        self.tied = left;
        let done: Vec<(u64, u64)> = done;
        let tickets: Vec<u64> = done.into_iter().map(|(_, t)| t).collect();
        tickets.iter().for_each(|t| {
            self.unwritten.remove(t);
        });
        tickets
    }

    /// The write under way was not carried out. `unsure`: or perhaps it was, or will be; then nothing is written
    /// before the page has been [`reread`](Book::reread).
    pub fn not_written(&mut self, unsure: bool) {
        if self.in_flight.take().is_some() {
            self.unsure = unsure;
        }
    }

    /// The page to be read again, if one is.
    pub fn wants_reread(&self) -> Option<u64> {
        self.unsure.then_some(self.open.page)
    }

    /// The page as it was read, with its version, or that there is none.
    pub fn reread(&mut self, found: Option<(&Page, u64)>) -> Result<Vec<u64>, Damaged> {
        if !std::mem::take(&mut self.unsure) {
            return Ok(Vec::new());
        }
        let Some((page, stamp)) = found else {
            return Ok(Vec::new());
        };
        let ours = page.read().ok().filter(|lines| {
            let tied = |n: usize| serde_json::from_str(self.open.lines.get(n)?).ok();
            let same = |n: usize| tied(n).and_then(|v| Line::read(&v)).as_ref() == lines.last();
            lines.len() <= self.open.lines.len() && lines.len().checked_sub(1).is_none_or(same)
        });
        let Some(lines) = ours else {
            // Somebody else has been there. What is written is kept; what is not goes to another page.
            return Err(self.abandon());
        };
        self.open.stamp = stamp;
        // The head came with it, if it did.
        self.head_at = self.head_at.max(self.in_flight_head.take());
        Ok(self.settle(lines.len()))
    }

    /// Leaves the open page as it is found, and ties what is not known to be written anew on the next.
    pub fn abandon(&mut self) -> Damaged {
        self.unsure = false;
        let damaged = Damaged(self.open.page);
        let lost: Vec<Line> = self.open.lines[self.open.written..]
            .iter()
            .filter_map(|text| Line::read(&serde_json::from_str(text).ok()?))
            .map(|(line, _)| line)
            .collect();
        let mut tickets: VecDeque<u64> = self.tied.drain(..).map(|t| t.1).collect();
        self.turn(0);
        for line in lost {
            match line.body {
                Body::Charge(c) => {
                    let again = c
                        .entries
                        .into_iter()
                        .filter_map(|e| Some((tickets.pop_front()?, e)));
                    self.charges.entry(c.common).or_default().extend(again);
                }
                body => self.notes.push_back(body),
            }
        }
        self.waiting.get_or_insert(0);
        damaged
    }

    /// How long an attempt that was charged may be met again.
    pub fn window(lease: Micros, settings: &Settings) -> Micros {
        10 * lease + 2 * settings.clock_off + 30 * SECOND
    }
}
