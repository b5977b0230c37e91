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
use crate::chain::{KeyRing, LineMac};
use crate::line::{Balance, BalanceAssembler, Charge, ChargeGroup, Entry, Line, LineBody};
use crate::settings::Settings;
use crate::{Micros, SECOND};

/// What a page takes beside its lines.
const PAGE_OVERHEAD_BYTES: usize = 160;
/// A balance may take one page in so many.
const MIN_PAGES_PER_BALANCE_PAGE: u64 = 8;
/// Marks of time in the head, for folding.
const MAX_TIME_MARKS: usize = 64;
/// Folded pages that are deleted in one transaction.
const MAX_DELETES_PER_WRITE: usize = 4;

/// What a charge's line takes beside what all its attempts have in common: its tie, and the least attempt and
/// begin.
const CHARGE_OVERHEAD_BYTES: usize = 28 + 40;

/// What tells an attempt on a machine from every other: its job, task, number and machine.
pub type ChargedAttempt = (String, u32, u64, String);

/// A page in so many brings the head along.
const PAGES_PER_HEAD_WRITE: u64 = 8;

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
pub struct PageWrite {
    pub page: u64,
    /// The version the page has to have; 0: it is new.
    pub version: u64,
    pub value: String,
    pub head: Option<Head>,
    /// Folded pages to be deleted.
    pub deleted_pages: Vec<u64>,
}

/// A page of the ledger that is not as its keeper wrote it. It is kept, and another is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("page {0} of the ledger is not as it was written")]
pub struct DamagedPage(pub u64);

/// What a new keeper goes on with.
#[derive(Debug)]
pub struct OpenedBook {
    pub book: Book,
    /// Attempts that the pages charge, as far as they may be met again.
    pub charged: HashSet<ChargedAttempt>,
    /// Pages that are not as they were written.
    pub damaged: Vec<DamagedPage>,
}

/// The page that lines are added to.
#[derive(Debug)]
struct OpenPage {
    page: u64,
    first_line: u64,
    previous_mac: LineMac,
    key_id: String,
    version: u64,
    lines: Vec<String>,
    bytes: usize,
    /// Lines of it that are known to be written.
    confirmed_lines: usize,
}

#[derive(Debug)]
pub struct Book {
    settings: Arc<Settings>,
    keys: Arc<KeyRing>,
    max_value_bytes: usize,
    /// Lines older than this are met no more.
    duplicate_window: Micros,
    accounts: Accounts,
    next_line: u64,
    last_mac: LineMac,
    open_page: OpenPage,
    head: Head,
    /// The head has been written: the number that it names is used, whatever became of the page.
    has_started: bool,
    /// The newest page when the head was last written.
    head_written_at_page: Option<u64>,
    /// Pages that are full, and when the last line of each was tied.
    full_pages: VecDeque<(u64, Micros)>,
    queued_lines: VecDeque<LineBody>,
    charges: BTreeMap<ChargeGroup, Vec<(u64, Entry)>>,
    /// When the oldest of what is not tied yet came.
    waiting_since: Option<Micros>,
    last_ticket: u64,
    unwritten: BTreeSet<u64>,
    /// Tickets of lines that are tied and not known to be written, with the lines' numbers.
    unconfirmed_lines: Vec<(u64, u64)>,
    lines_in_flight: Option<usize>,
    in_flight_head: Option<u64>,
    outcome_unknown: bool,
    /// The page where the newest balance begins that is written as a whole.
    balance_page: Option<u64>,
    /// The one being written: its first page, the number of the line after it, and what it folds.
    pending_balance: Option<(u64, u64, u64)>,
    /// Where the last balance began, and how many pages it took.
    balance_began_at_page: u64,
    balance_page_count: u64,
    pages_to_delete: VecDeque<u64>,
}

/// What is read of the pages that a book goes on after.
#[derive(Default)]
struct PageReader {
    charged: HashSet<ChargedAttempt>,
    damaged: Vec<DamagedPage>,
    balance: BalanceAssembler,
    lines_since_balance: Vec<Line>,
}

/// The attempts that a line charges.
fn attempts_of(line: &Line) -> Vec<ChargedAttempt> {
    let LineBody::Charge(c) = &line.body else {
        return Vec::new();
    };
    let key = |e: &Entry| (c.group.job.clone(), e.task, e.attempt, e.machine.clone());
    c.entries.iter().map(key).collect()
}

impl Book {
    /// A book that goes on after `pages`: from the head's `from` to its `newest`, with their versions.
    /// `max_value_bytes`: the most bytes of a value. `duplicate_window`: for how long an attempt that was charged
    /// may be met again.
    pub fn open(
        settings: Arc<Settings>,
        keys: Arc<KeyRing>,
        max_value_bytes: usize,
        duplicate_window: Micros,
        head: Option<Head>,
        pages: &[(Page, u64)],
    ) -> OpenedBook {
        let is_new = head.is_none();
        let mut head = head.unwrap_or_default();
        let head_page = head.newest;
        let newest_found = pages.iter().map(|(page, _)| page.page).max();
        head.newest = newest_found.unwrap_or(0).max(head_page);
        let mut book = Book::new(settings, keys, max_value_bytes, duplicate_window, head);
        book.has_started = !is_new;
        book.head_written_at_page = (!is_new).then_some(head_page);
        let mut reader = PageReader::default();
        let mut is_newest_intact = true;
        if !is_new {
            is_newest_intact = book.read_pages(&mut reader, pages);
        }
        for line in &reader.lines_since_balance {
            book.accounts.line(line, &book.settings);
        }
        if !is_newest_intact || book.open_page.key_id != book.keys.newest().id {
            book.begin_page(0);
        }
        // What the last keeper folded may not have been deleted.
        let folded = book.head.kept;
        let first_folded = folded.saturating_sub(MAX_DELETES_PER_WRITE as u64);
        book.pages_to_delete.extend(first_folded..folded);
        OpenedBook {
            book,
            charged: reader.charged,
            damaged: reader.damaged,
        }
    }

    /// A book before any page has been read.
    fn new(
        settings: Arc<Settings>,
        keys: Arc<KeyRing>,
        max_value_bytes: usize,
        duplicate_window: Micros,
        head: Head,
    ) -> Book {
        Book {
            max_value_bytes,
            duplicate_window,
            accounts: Accounts::default(),
            next_line: 0,
            last_mac: LineMac::default(),
            open_page: OpenPage {
                page: head.newest,
                first_line: 0,
                previous_mac: LineMac::default(),
                key_id: keys.newest().id.clone(),
                version: 0,
                lines: Vec::new(),
                bytes: 0,
                confirmed_lines: 0,
            },
            has_started: false,
            head_written_at_page: None,
            full_pages: VecDeque::new(),
            queued_lines: VecDeque::new(),
            charges: BTreeMap::new(),
            waiting_since: None,
            last_ticket: 0,
            unwritten: BTreeSet::new(),
            unconfirmed_lines: Vec::new(),
            lines_in_flight: None,
            in_flight_head: None,
            outcome_unknown: false,
            balance_page: None,
            pending_balance: None,
            balance_began_at_page: head.from,
            balance_page_count: 1,
            pages_to_delete: VecDeque::new(),
            settings,
            keys,
            head,
        }
    }

    /// Reads the pages from the head's first to its newest. Returns whether the newest is as it was written.
    fn read_pages(&mut self, reader: &mut PageReader, pages: &[(Page, u64)]) -> bool {
        let by_number: HashMap<u64, &(Page, u64)> =
            pages.iter().map(|entry| (entry.0.page, entry)).collect();
        let mut is_intact = false;
        for number in self.head.from..=self.head.newest {
            is_intact = match by_number.get(&number) {
                Some((page, version)) => self.read_page(reader, page, *version),
                None => false,
            };
            if !is_intact {
                reader.damaged.push(DamagedPage(number));
            }
        }
        is_intact
    }

    /// Reads a page. False: it is not as it was written.
    fn read_page(&mut self, reader: &mut PageReader, page: &Page, version: u64) -> bool {
        let lines = page.read().unwrap_or_default();
        for (line, _) in &lines {
            reader.charged.extend(attempts_of(line));
        }
        if !self.is_chained(page, &lines) {
            let line_after = page.first + page.lines.len() as u64;
            self.next_line = self.next_line.max(line_after);
            return false;
        }
        let mut last_event_at = 0;
        for (line, mac) in lines {
            self.next_line = line.number + 1;
            self.last_mac = mac;
            last_event_at = line.last_event_at().unwrap_or(last_event_at);
            if let LineBody::Balance(_) = line.body {
                self.balance_began_at_page = page.page;
            }
            if let Some(parts) = reader.balance.take(&line.body) {
                self.accounts = Accounts::from_parts(&parts, &self.settings);
                self.balance_page = Some(self.balance_began_at_page);
                self.balance_page_count = page.page - self.balance_began_at_page + 1;
                reader.lines_since_balance.clear();
            }
            reader.lines_since_balance.push(line);
        }
        if page.page == self.head.newest {
            self.continue_page(page, version);
        } else {
            self.full_pages.push_back((page.page, last_event_at));
        }
        true
    }

    /// Goes on with the newest page.
    fn continue_page(&mut self, page: &Page, version: u64) {
        let lines: Vec<String> = page.lines.iter().map(ToString::to_string).collect();
        self.open_page = OpenPage {
            page: page.page,
            first_line: page.first,
            previous_mac: LineMac::parse(&page.prev).unwrap_or_default(),
            key_id: page.key.clone(),
            version,
            bytes: lines.iter().map(|line| line.len() + 1).sum(),
            confirmed_lines: lines.len(),
            lines,
        };
    }

    /// Whether a page's lines are as they were tied, as far as the keys tell. One that cannot be read has none.
    fn is_chained(&self, page: &Page, lines: &[(Line, LineMac)]) -> bool {
        let Some(mut tie) = LineMac::parse(&page.prev).filter(|_| lines.len() == page.lines.len())
        else {
            return false;
        };
        let key = self.keys.get(&page.key);
        (page.first..).zip(lines).all(|(seq, (line, its))| {
            let before = std::mem::replace(&mut tie, *its);
            line.number == seq && key.is_none_or(|k| before.next(k, &line.text()) == *its)
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
    pub fn charge(&mut self, common: ChargeGroup, entry: Entry, now: Micros) -> u64 {
        let charge = Charge {
            group: common,
            entries: vec![entry],
        };
        self.accounts.charge(&charge, &self.settings);
        self.last_ticket += 1;
        self.unwritten.insert(self.last_ticket);
        self.waiting_since.get_or_insert(now);
        let entries = charge.entries.into_iter().map(|e| (self.last_ticket, e));
        self.charges
            .entry(charge.group)
            .or_default()
            .extend(entries);
        self.last_ticket
    }

    /// Writes down something else.
    pub fn queue_line(&mut self, body: LineBody, now: Micros) {
        self.queued_lines.push_back(body);
        self.waiting_since.get_or_insert(now);
    }

    /// Whether the charge with this ticket is known to be written.
    pub fn is_written(&self, ticket: u64) -> bool {
        !self.unwritten.contains(&ticket)
    }

    /// Charges that are not known to be written.
    pub fn unwritten_charges(&self) -> usize {
        self.unwritten.len()
    }

    /// What is to be written now, if anything is. `at`: the time of day; `room`: the most puts and deletes it
    /// may have. One write is under way at a time.
    pub fn next_write(&mut self, now: Micros, at: Micros, room: usize) -> Option<PageWrite> {
        // A page may come with the head.
        if self.lines_in_flight.is_some() || self.outcome_unknown || room < 2 {
            return None;
        }
        let due = self
            .waiting_since
            .is_some_and(|t| now >= t + self.settings.write_interval);
        let left = self.open_page.lines.len() > self.open_page.confirmed_lines;
        if !due && !left {
            return None;
        }
        self.fill_page(at);
        if self.open_page.lines.len() == self.open_page.confirmed_lines {
            // Nothing more went in: the page is full.
            self.begin_page(at);
            self.fill_page(at);
        }
        self.lines_in_flight = Some(self.open_page.lines.len());
        self.has_started = true;
        let due = self
            .head_written_at_page
            .is_none_or(|n| self.open_page.page >= n + PAGES_PER_HEAD_WRITE);
        let tells = self.open_page.version == 0 && due;
        let deletes = match tells {
            true => Vec::new(),
            false => self
                .pages_to_delete
                .drain(
                    ..self
                        .pages_to_delete
                        .len()
                        .min(MAX_DELETES_PER_WRITE)
                        .min(room - 1),
                )
                .collect(),
        };
        self.in_flight_head = tells.then_some(self.open_page.page);
        Some(PageWrite {
            page: self.open_page.page,
            version: self.open_page.version,
            value: self.page_value(),
            head: tells.then(|| self.head.clone()),
            deleted_pages: deletes,
        })
    }

    /// Begins the next page.
    fn begin_page(&mut self, at: Micros) {
        let stands = self.open_page.version > 0 || !self.open_page.lines.is_empty();
        if stands {
            self.full_pages.push_back((self.open_page.page, at));
        }
        self.open_page = OpenPage {
            page: self.open_page.page + u64::from(stands || self.has_started),
            first_line: self.next_line,
            previous_mac: self.last_mac,
            key_id: self.keys.newest().id.clone(),
            version: 0,
            lines: Vec::new(),
            bytes: 0,
            confirmed_lines: 0,
        };
        while self
            .full_pages
            .front()
            .is_some_and(|f| f.1 + self.duplicate_window < at)
        {
            self.full_pages.pop_front();
        }
        self.head.newest = self.open_page.page;
        let met = self.full_pages.front().map_or(self.open_page.page, |f| f.0);
        self.head.from = met.min(self.balance_page.unwrap_or(self.head.from));
        let since = self
            .open_page
            .page
            .saturating_sub(self.balance_began_at_page);
        let every = self
            .settings
            .balance_pages
            .max(MIN_PAGES_PER_BALANCE_PAGE * self.balance_page_count);
        if at > 0
            && self.pending_balance.is_none()
            && since >= every
            && self.queued_lines.is_empty()
        {
            self.queue_balance(at);
        }
    }

    /// Puts a balance at the head of what is to be written: it speaks of all lines so far.
    fn queue_balance(&mut self, at: Micros) {
        // What waits to be tied is in the accounts already, but comes after the balance.
        let mut before = self.accounts.clone();
        before.subtract_pending(&self.charges, &self.settings);
        let parts = before.parts(&self.settings);
        if parts.is_empty() {
            return;
        }
        let old = |m: &&(u64, Micros)| m.1 + self.settings.retention < at;
        let folded = self.head.marks.iter().filter(old).map(|m| m.0).max();
        let kept = folded.filter(|_| self.settings.retention > 0).unwrap_or(0);
        let kept = kept.max(self.head.kept).min(self.head.from);
        let mark = Balance {
            upto: self.next_line,
            parts: parts.len() as u32,
            kept,
            at,
        };
        self.queued_lines.push_back(LineBody::Balance(mark));
        self.queued_lines
            .extend(parts.into_iter().map(LineBody::Part));
    }

    /// Ties what fits into the page.
    fn fill_page(&mut self, at: Micros) {
        while let Some(body) = self.queued_lines.front() {
            let line = Line {
                number: self.next_line,
                body: body.clone(),
            };
            if !self.append_line(&line) {
                return;
            }
            let Some(body) = self.queued_lines.pop_front() else {
                return;
            };
            self.line_appended(&body, at);
        }
        while let Some((common, mut entries)) = self.charges.pop_first() {
            let most = self.entries_that_fit(&common, &entries);
            let rest = entries.split_off(most);
            if !rest.is_empty() {
                self.charges.insert(common.clone(), rest);
            }
            if entries.is_empty() {
                return;
            }
            let (tickets, entries): (Vec<u64>, Vec<Entry>) = entries.into_iter().unzip();
            let line = Line {
                number: self.next_line,
                body: LineBody::Charge(Charge {
                    group: common,
                    entries,
                }),
            };
            self.unconfirmed_lines
                .extend(tickets.into_iter().map(|t| (line.number, t)));
            self.append_line(&line);
        }
        self.waiting_since = None;
    }

    fn line_appended(&mut self, body: &LineBody, at: Micros) {
        match body {
            LineBody::Balance(b) => {
                self.balance_began_at_page = self.open_page.page;
                self.pending_balance = Some((
                    self.balance_began_at_page,
                    self.next_line + u64::from(b.parts),
                    b.kept,
                ));
                self.head.marks.push((self.open_page.page, at));
                if self.head.marks.len() > MAX_TIME_MARKS {
                    let mut odd = false;
                    self.head.marks.retain(|_| {
                        odd = !odd;
                        odd
                    });
                }
            }
            LineBody::Part(_) => {
                self.balance_page_count = self.open_page.page - self.balance_began_at_page + 1
            }
            _ => {}
        }
    }

    /// How many of these the page has room for. A page takes one at least.
    fn entries_that_fit(&self, common: &ChargeGroup, entries: &[(u64, Entry)]) -> usize {
        let empty = Charge {
            group: common.clone(),
            entries: Vec::new(),
        };
        let line = Line {
            number: self.next_line,
            body: LineBody::Charge(empty),
        };
        let mut room = self
            .remaining_bytes()
            .saturating_sub(line.text().len() + CHARGE_OVERHEAD_BYTES);
        let mut n = 0;
        for (_, e) in entries {
            let bytes = e.most_bytes();
            if bytes > room {
                break;
            }
            room -= bytes;
            n += 1;
        }
        if self.open_page.lines.is_empty() {
            n.max(1)
        } else {
            n
        }
    }

    fn remaining_bytes(&self) -> usize {
        (self.max_value_bytes - self.max_value_bytes.min(PAGE_OVERHEAD_BYTES))
            .saturating_sub(self.open_page.bytes)
    }

    /// Ties a line, if the page has room for it.
    fn append_line(&mut self, line: &Line) -> bool {
        let Some(key) = self.keys.get(&self.open_page.key_id) else {
            return false;
        };
        let (text, tie) = line.to_chained_text(key, &self.last_mac);
        if text.len() + 1 > self.remaining_bytes() && !self.open_page.lines.is_empty() {
            return false;
        }
        self.open_page.bytes += text.len() + 1;
        self.open_page.lines.push(text);
        self.last_mac = tie;
        self.next_line += 1;
        true
    }

    /// The open page as it is kept.
    fn page_value(&self) -> String {
        let o = &self.open_page;
        let lines = o.lines.join(",");
        format!(
            "{{\"page\":{},\"first\":{},\"prev\":\"{}\",\"key\":\"{}\",\"lines\":[{lines}]}}",
            o.page, o.first_line, o.previous_mac, o.key_id
        )
    }

    /// The write under way was carried out, at this version. Returns the tickets of what is now written.
    pub fn write_succeeded(&mut self, stamp: u64) -> Vec<u64> {
        let Some(lines) = self.lines_in_flight.take() else {
            return Vec::new();
        };
        self.open_page.version = stamp;
        self.head_written_at_page = self.head_written_at_page.max(self.in_flight_head.take());
        self.confirm_lines(lines)
    }

    fn confirm_lines(&mut self, lines: usize) -> Vec<u64> {
        self.open_page.confirmed_lines = self.open_page.confirmed_lines.max(lines);
        let upto = self.open_page.first_line + self.open_page.confirmed_lines as u64;
        if let Some((page, _, kept)) = self.pending_balance.take_if(|c| c.1 <= upto) {
            // Only now may a successor begin with it, and what it folds be deleted.
            self.balance_page = Some(page);
            self.pages_to_delete.extend(self.head.kept..kept);
            self.head.kept = kept;
            self.head.marks.retain(|m| m.0 >= kept);
        }
        let (done, left) = self
            .unconfirmed_lines
            .iter()
            .partition(|(seq, _)| *seq < upto);
        self.unconfirmed_lines = left;
        let done: Vec<(u64, u64)> = done;
        let tickets: Vec<u64> = done.into_iter().map(|(_, t)| t).collect();
        tickets.iter().for_each(|t| {
            self.unwritten.remove(t);
        });
        tickets
    }

    /// The write under way was not carried out. `unsure`: or perhaps it was, or will be; then nothing is written
    /// before the page has been [`reread`](Book::handle_reread).
    pub fn write_failed(&mut self, unsure: bool) {
        if self.lines_in_flight.take().is_some() {
            self.outcome_unknown = unsure;
        }
    }

    /// The page to be read again, if one is.
    pub fn page_to_reread(&self) -> Option<u64> {
        self.outcome_unknown.then_some(self.open_page.page)
    }

    /// The page as it was read, with its version, or that there is none.
    pub fn handle_reread(&mut self, found: Option<(&Page, u64)>) -> Result<Vec<u64>, DamagedPage> {
        if !std::mem::take(&mut self.outcome_unknown) {
            return Ok(Vec::new());
        }
        let Some((page, stamp)) = found else {
            return Ok(Vec::new());
        };
        let ours = page.read().ok().filter(|lines| {
            let tied = |n: usize| serde_json::from_str(self.open_page.lines.get(n)?).ok();
            let same = |n: usize| tied(n).and_then(|v| Line::read(&v)).as_ref() == lines.last();
            lines.len() <= self.open_page.lines.len() && lines.len().checked_sub(1).is_none_or(same)
        });
        let Some(lines) = ours else {
            // Somebody else has been there. What is written is kept; what is not goes to another page.
            return Err(self.abandon_page());
        };
        self.open_page.version = stamp;
        // The head came with it, if it did.
        self.head_written_at_page = self.head_written_at_page.max(self.in_flight_head.take());
        Ok(self.confirm_lines(lines.len()))
    }

    /// Leaves the open page as it is found, and ties what is not known to be written anew on the next.
    pub fn abandon_page(&mut self) -> DamagedPage {
        self.outcome_unknown = false;
        let damaged = DamagedPage(self.open_page.page);
        let lost: Vec<Line> = self.open_page.lines[self.open_page.confirmed_lines..]
            .iter()
            .filter_map(|text| Line::read(&serde_json::from_str(text).ok()?))
            .map(|(line, _)| line)
            .collect();
        let mut tickets: VecDeque<u64> = self.unconfirmed_lines.drain(..).map(|t| t.1).collect();
        self.begin_page(0);
        for line in lost {
            match line.body {
                LineBody::Charge(c) => {
                    let again = c
                        .entries
                        .into_iter()
                        .filter_map(|e| Some((tickets.pop_front()?, e)));
                    self.charges.entry(c.group).or_default().extend(again);
                }
                body => self.queued_lines.push_back(body),
            }
        }
        self.waiting_since.get_or_insert(0);
        damaged
    }

    /// How long an attempt that was charged may be met again.
    pub fn duplicate_window(lease: Micros, settings: &Settings) -> Micros {
        10 * lease + 2 * settings.max_clock_offset + 30 * SECOND
    }
}
