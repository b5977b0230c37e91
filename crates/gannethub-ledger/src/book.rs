//! Writer of the ledger: accepts charges and produces pages.
//!
//! One controller at a time, the leader, writes the ledger, and every page is written in a transaction that fails once
//! the leader is deposed. A line is chained (given its number and MAC) once and then stays in its page: a page whose
//! write got no answer is written again with the same lines and possibly more, so whichever of the two writes is
//! carried out, and in whatever order, no line is in the ledger twice.
//!
//! A charge stays open until its write is confirmed. Until then the attempt's worker is not told to forget the attempt,
//! so the worker still reports to the next leader each attempt whose charge this leader could no longer write.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::account::Accounts;
use crate::audit::Page;
use crate::chain::{KeyRing, LineMac};
use crate::line::{AttemptCharge, Balance, BalanceAssembler, Charge, ChargeGroup, Line, LineBody};
use crate::settings::Settings;
use crate::{Micros, SECOND};

/// Upper bound of the bytes of a page besides its lines.
const PAGE_OVERHEAD_BYTES: usize = 160;
/// Minimum number of pages from one balance to the next, per page that a balance takes. This bounds the part of the
/// ledger that balances take.
const MIN_PAGES_PER_BALANCE_PAGE: u64 = 8;
/// Maximum number of time marks in the head. The time marks decide which pages are old enough to be folded.
const MAX_TIME_MARKS: usize = 64;
/// Maximum number of folded pages that one transaction deletes.
const MAX_DELETES_PER_WRITE: usize = 4;

/// Upper bound of the bytes of a charge line besides its group and its entries: the MAC, and the lowest attempt and
/// begin.
const CHARGE_OVERHEAD_BYTES: usize = 28 + 40;

/// Unique key of an attempt on a machine: job, task, attempt number and machine.
pub type ChargedAttempt = (String, u32, u64, String);

/// Number of pages after which the head is written again, together with a new page.
const PAGES_PER_HEAD_WRITE: u64 = 8;

/// Position of the ledger, stored in a value of its own. The head is not written with every page, so pages after
/// `newest` may exist.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// Newest page at the time the head was written.
    pub newest: u64,
    /// First page that the next leader reads. The pages from this one on hold a complete balance, unless no balance
    /// exists yet, and the charge of every attempt that a worker may still report.
    pub from: u64,
    /// First page that must still exist; earlier pages are folded into a balance and may be deleted.
    pub kept: u64,
    /// Pages in which a balance began, with the time of day at which it began.
    #[serde(default)]
    pub marks: Vec<(u64, Micros)>,
}

/// Ledger writes that belong in one transaction. The caller chooses the keys.
#[derive(Clone, Debug, PartialEq)]
pub struct PageWrite {
    pub page: u64,
    /// Version that the stored page must have; 0 if the page must not exist yet.
    pub version: u64,
    pub value: String,
    pub head: Option<Head>,
    /// Folded pages that the transaction deletes.
    pub deleted_pages: Vec<u64>,
}

/// A page of the ledger that is missing or differs from what was written. A damaged page is kept as it is, and a new
/// page is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("page {0} of the ledger is missing or differs from what was written")]
pub struct DamagedPage(pub u64);

/// State of the ledger that a new leader continues with.
#[derive(Debug)]
pub struct OpenedBook {
    pub book: Book,
    /// Attempts that the pages charge. Attempts that no worker can report any more may be absent.
    pub charged_attempts: HashSet<ChargedAttempt>,
    /// Pages that are missing or differ from what was written.
    pub damaged: Vec<DamagedPage>,
}

/// The page to which lines are added.
#[derive(Debug)]
struct OpenPage {
    page: u64,
    first_line: u64,
    previous_mac: LineMac,
    key_id: String,
    version: u64,
    lines: Vec<String>,
    bytes: usize,
    /// Number of lines of the page whose write is confirmed.
    confirmed_lines: usize,
}

/// The ledger as the leader writes it: accounts, the open page, and charges that are not written yet.
#[derive(Debug)]
pub struct Book {
    settings: Arc<Settings>,
    keys: Arc<KeyRing>,
    max_value_bytes: usize,
    /// Time for which a worker may report an attempt again after the attempt was charged, in microseconds.
    duplicate_window: Micros,
    accounts: Accounts,
    next_line: u64,
    last_mac: LineMac,
    open_page: OpenPage,
    head: Head,
    /// Whether a head exists or a write was started. The open page's number then counts as used, even if the page was
    /// never written.
    has_started: bool,
    /// Newest page at the last confirmed write of the head.
    head_written_at_page: Option<u64>,
    /// Pages before the open page that may charge attempts that workers can still report. The time of each page is the
    /// time of day at which the page was left, or of the last event in the page if an earlier leader left it. The time
    /// is 0 if the page was left for a reason other than being full.
    full_pages: VecDeque<(u64, Micros)>,
    /// Lines other than charges that are not chained yet.
    queued_lines: VecDeque<LineBody>,
    /// Charges that are not chained yet, with their tickets.
    charges: BTreeMap<ChargeGroup, Vec<(u64, AttemptCharge)>>,
    /// Time at which the oldest line or charge that is not chained yet arrived.
    waiting_since: Option<Micros>,
    last_ticket: u64,
    /// Tickets of all charges whose write is not confirmed.
    unwritten: BTreeSet<u64>,
    /// Line number and ticket of each charge that is chained but whose write is not confirmed.
    unconfirmed_lines: Vec<(u64, u64)>,
    /// Number of lines of the open page in the write in flight.
    lines_in_flight: Option<usize>,
    /// Newest page according to the head that the write in flight includes.
    in_flight_head: Option<u64>,
    /// Whether it is unknown if the last write was carried out.
    outcome_unknown: bool,
    /// First page of the newest balance whose write is confirmed completely.
    balance_page: Option<u64>,
    /// The balance being written: its first page, the number of the line after it, and the first page that is kept.
    pending_balance: Option<(u64, u64, u64)>,
    /// First page of the newest balance, whether its write is confirmed or not. Without a balance, the head's `from` at
    /// the time the book was opened.
    balance_began_at_page: u64,
    /// Number of pages of the newest balance.
    balance_page_count: u64,
    pages_to_delete: VecDeque<u64>,
}

/// Collects the contents of the stored pages when a book is opened.
#[derive(Default)]
struct PageReader {
    charged: HashSet<ChargedAttempt>,
    damaged: Vec<DamagedPage>,
    balance: BalanceAssembler,
    lines_since_balance: Vec<Line>,
}

/// Returns the attempts that a line charges.
fn attempts_of(line: &Line) -> Vec<ChargedAttempt> {
    let LineBody::Charge(c) = &line.body else {
        return Vec::new();
    };
    let key = |e: &AttemptCharge| (c.group.job.clone(), e.task, e.attempt, e.machine.clone());
    c.entries.iter().map(key).collect()
}

impl Book {
    /// Opens a book that continues after `pages`: the pages from the head's `from` on, with their versions.
    /// `max_value_bytes` is the maximum size of a stored value in bytes. `duplicate_window` is the time in microseconds
    /// for which a worker may report an attempt again after it was charged.
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
            book.accounts.add_line(line, &book.settings);
        }
        if !is_newest_intact || book.open_page.key_id != book.keys.newest().id {
            book.begin_page(0);
        }
        // The previous leader may not have deleted the last pages that it folded, so their deletion is queued again.
        let first_kept = book.head.kept;
        let first_folded = first_kept.saturating_sub(MAX_DELETES_PER_WRITE as u64);
        book.pages_to_delete.extend(first_folded..first_kept);
        OpenedBook {
            book,
            charged_attempts: reader.charged,
            damaged: reader.damaged,
        }
    }

    /// Returns a book that has read no page.
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

    /// Reads the pages from the head's `from` to its `newest`. Returns whether the newest page is intact.
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

    /// Reads a page. Returns false if the page differs from what was written.
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
            if let Some(parts) = reader.balance.add_line(&line.body) {
                self.accounts = Accounts::from_balance_parts(&parts, &self.settings);
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

    /// Makes the newest page the open page, so that more lines are added to it.
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

    /// Whether the numbers and MACs of a page's lines are as they were chained. If the page's key is not known, only
    /// the line numbers are checked. `lines` is empty if a line of the page is unreadable; the page is then not
    /// intact.
    fn is_chained(&self, page: &Page, lines: &[(Line, LineMac)]) -> bool {
        let Some(mut last_mac) =
            LineMac::parse(&page.prev).filter(|_| lines.len() == page.lines.len())
        else {
            return false;
        };
        let key = self.keys.get(&page.key);
        (page.first..).zip(lines).all(|(number, (line, mac))| {
            let before = std::mem::replace(&mut last_mac, *mac);
            line.number == number && key.is_none_or(|k| before.next(k, &line.text()) == *mac)
        })
    }

    pub fn settings(&self) -> &Arc<Settings> {
        &self.settings
    }

    /// Returns the accounts of all charges, including those that are not written yet.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Charges an attempt. Returns a ticket for [`Book::is_written`].
    pub fn charge(&mut self, charge_group: ChargeGroup, entry: AttemptCharge, now: Micros) -> u64 {
        let charge = Charge {
            group: charge_group,
            entries: vec![entry],
        };
        self.accounts.add_charge(&charge, &self.settings);
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

    /// Queues a line other than a charge.
    pub fn queue_line(&mut self, body: LineBody, now: Micros) {
        self.queued_lines.push_back(body);
        self.waiting_since.get_or_insert(now);
    }

    /// Whether the write of the charge with this ticket is confirmed.
    pub fn is_written(&self, ticket: u64) -> bool {
        !self.unwritten.contains(&ticket)
    }

    /// Returns the number of charges whose write is not confirmed.
    pub fn unwritten_charges(&self) -> usize {
        self.unwritten.len()
    }

    /// Returns the next write, if one is due. `now` is the time of the monotonic clock and `at` the time of day,
    /// both in microseconds; `room` is the maximum number of puts and deletes. One write is in flight at a time.
    pub fn next_write(&mut self, now: Micros, at: Micros, room: usize) -> Option<PageWrite> {
        // A write may put both a page and the head.
        if self.lines_in_flight.is_some() || self.outcome_unknown || room < 2 {
            return None;
        }
        let due = self
            .waiting_since
            .is_some_and(|t| now >= t + self.settings.write_interval);
        let has_unconfirmed = self.open_page.lines.len() > self.open_page.confirmed_lines;
        if !due && !has_unconfirmed {
            return None;
        }
        self.fill_page(at);
        if self.open_page.lines.len() == self.open_page.confirmed_lines {
            // No line was added: the page is full.
            self.begin_page(at);
            self.fill_page(at);
        }
        self.lines_in_flight = Some(self.open_page.lines.len());
        self.has_started = true;
        let is_head_due = self
            .head_written_at_page
            .is_none_or(|n| self.open_page.page >= n + PAGES_PER_HEAD_WRITE);
        let writes_head = self.open_page.version == 0 && is_head_due;
        let deletes = match writes_head {
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
        self.in_flight_head = writes_head.then_some(self.open_page.page);
        Some(PageWrite {
            page: self.open_page.page,
            version: self.open_page.version,
            value: self.page_value(),
            head: writes_head.then(|| self.head.clone()),
            deleted_pages: deletes,
        })
    }

    /// Begins the next page. `at` is the time of day, or 0 if the caller does not know the time: then no page is
    /// dropped from `full_pages` and no balance is queued.
    fn begin_page(&mut self, at: Micros) {
        let is_used = self.open_page.version > 0 || !self.open_page.lines.is_empty();
        if is_used {
            self.full_pages.push_back((self.open_page.page, at));
        }
        self.open_page = OpenPage {
            page: self.open_page.page + u64::from(is_used || self.has_started),
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
        let first_needed = self.full_pages.front().map_or(self.open_page.page, |f| f.0);
        self.head.from = first_needed.min(self.balance_page.unwrap_or(self.head.from));
        let pages_since_balance = self
            .open_page
            .page
            .saturating_sub(self.balance_began_at_page);
        let pages_per_balance = self
            .settings
            .balance_pages
            .max(MIN_PAGES_PER_BALANCE_PAGE * self.balance_page_count);
        if at > 0
            && self.pending_balance.is_none()
            && pages_since_balance >= pages_per_balance
            && self.queued_lines.is_empty()
        {
            self.queue_balance(at);
        }
    }

    /// Queues a balance that covers all lines chained so far. Queued lines are chained before pending charges.
    fn queue_balance(&mut self, at: Micros) {
        // Charges that are not chained yet are already in the accounts but will come after the balance.
        let mut before = self.accounts.clone();
        before.subtract_pending(&self.charges, &self.settings);
        let parts = before.balance_parts(&self.settings);
        if parts.is_empty() {
            return;
        }
        let is_old = |m: &&(u64, Micros)| m.1 + self.settings.retention < at;
        let newest_old = self.head.marks.iter().filter(is_old).map(|m| m.0).max();
        let kept = newest_old
            .filter(|_| self.settings.retention > 0)
            .unwrap_or(0);
        let kept = kept.max(self.head.kept).min(self.head.from);
        let balance = Balance {
            end_line: self.next_line,
            parts: parts.len() as u32,
            kept,
            at,
        };
        self.queued_lines.push_back(LineBody::Balance(balance));
        self.queued_lines
            .extend(parts.into_iter().map(LineBody::Part));
    }

    /// Chains queued lines and charges into the open page until the page is full.
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
        while let Some((charge_group, mut entries)) = self.charges.pop_first() {
            let count = self.entries_that_fit(&charge_group, &entries);
            let rest = entries.split_off(count);
            if !rest.is_empty() {
                self.charges.insert(charge_group.clone(), rest);
            }
            if entries.is_empty() {
                return;
            }
            let (tickets, entries): (Vec<u64>, Vec<AttemptCharge>) = entries.into_iter().unzip();
            let line = Line {
                number: self.next_line,
                body: LineBody::Charge(Charge {
                    group: charge_group,
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

    /// Returns how many of the entries fit into the open page. An empty page takes at least one entry.
    fn entries_that_fit(&self, group: &ChargeGroup, entries: &[(u64, AttemptCharge)]) -> usize {
        let empty = Charge {
            group: group.clone(),
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
            let bytes = e.max_bytes();
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

    /// Chains a line and appends it to the open page. Returns false if the page has no room for the line.
    fn append_line(&mut self, line: &Line) -> bool {
        let Some(key) = self.keys.get(&self.open_page.key_id) else {
            return false;
        };
        let (text, mac) = line.to_chained_text(key, &self.last_mac);
        if text.len() + 1 > self.remaining_bytes() && !self.open_page.lines.is_empty() {
            return false;
        }
        self.open_page.bytes += text.len() + 1;
        self.open_page.lines.push(text);
        self.last_mac = mac;
        self.next_line += 1;
        true
    }

    /// Returns the open page as it is stored.
    fn page_value(&self) -> String {
        let page = &self.open_page;
        let lines = page.lines.join(",");
        format!(
            "{{\"page\":{},\"first\":{},\"prev\":\"{}\",\"key\":\"{}\",\"lines\":[{lines}]}}",
            page.page, page.first_line, page.previous_mac, page.key_id
        )
    }

    /// Handles the success of the write in flight. `version` is the new version of the page. Returns the tickets of the
    /// charges that are now written.
    pub fn write_succeeded(&mut self, version: u64) -> Vec<u64> {
        let Some(lines) = self.lines_in_flight.take() else {
            return Vec::new();
        };
        self.open_page.version = version;
        self.head_written_at_page = self.head_written_at_page.max(self.in_flight_head.take());
        self.confirm_lines(lines)
    }

    /// Marks the first `lines` lines of the open page as written. Returns the tickets of the charges in them.
    fn confirm_lines(&mut self, lines: usize) -> Vec<u64> {
        self.open_page.confirmed_lines = self.open_page.confirmed_lines.max(lines);
        let end_line = self.open_page.first_line + self.open_page.confirmed_lines as u64;
        if let Some((page, _, kept)) = self
            .pending_balance
            .take_if(|balance| balance.1 <= end_line)
        {
            // The next leader can start from this balance only now that it is written completely, and only now may the
            // pages that the balance folds be deleted.
            self.balance_page = Some(page);
            self.pages_to_delete.extend(self.head.kept..kept);
            self.head.kept = kept;
            self.head.marks.retain(|m| m.0 >= kept);
        }
        let (done, left) = self
            .unconfirmed_lines
            .iter()
            .partition(|(number, _)| *number < end_line);
        self.unconfirmed_lines = left;
        let done: Vec<(u64, u64)> = done;
        let tickets: Vec<u64> = done.into_iter().map(|(_, t)| t).collect();
        tickets.iter().for_each(|t| {
            self.unwritten.remove(t);
        });
        tickets
    }

    /// Handles the failure of the write in flight. `outcome_unknown` means that the write may have been carried out or
    /// may still be carried out; no page is then written before this page has been [`reread`](Book::page_reread).
    pub fn write_failed(&mut self, outcome_unknown: bool) {
        if self.lines_in_flight.take().is_some() {
            self.outcome_unknown = outcome_unknown;
        }
    }

    /// Returns the page that must be read again because the outcome of its write is unknown.
    pub fn page_to_reread(&self) -> Option<u64> {
        self.outcome_unknown.then_some(self.open_page.page)
    }

    /// Handles the reread page. `found` is the page and its version, or `None` if the page does not exist. Returns the
    /// tickets of the charges that are now confirmed, or an error if the page was not written by this book.
    pub fn page_reread(&mut self, found: Option<(&Page, u64)>) -> Result<Vec<u64>, DamagedPage> {
        if !std::mem::take(&mut self.outcome_unknown) {
            return Ok(Vec::new());
        }
        let Some((page, version)) = found else {
            return Ok(Vec::new());
        };
        let own_lines = page.read().ok().filter(|lines| {
            let chained = |n: usize| serde_json::from_str(self.open_page.lines.get(n)?).ok();
            let same = |n: usize| chained(n).and_then(|v| Line::read(&v)).as_ref() == lines.last();
            lines.len() <= self.open_page.lines.len() && lines.len().checked_sub(1).is_none_or(same)
        });
        let Some(lines) = own_lines else {
            // Another writer changed the page. The stored page is kept; unconfirmed lines go to a new page.
            return Err(self.abandon_page());
        };
        self.open_page.version = version;
        // If the write included the head, the head was written in the same transaction.
        self.head_written_at_page = self.head_written_at_page.max(self.in_flight_head.take());
        Ok(self.confirm_lines(lines.len()))
    }

    /// Leaves the stored page unchanged and begins a new page. The unconfirmed lines are queued again, to be chained in
    /// the new page.
    pub fn abandon_page(&mut self) -> DamagedPage {
        self.outcome_unknown = false;
        let damaged = DamagedPage(self.open_page.page);
        let unconfirmed: Vec<Line> = self.open_page.lines[self.open_page.confirmed_lines..]
            .iter()
            .filter_map(|text| Line::read(&serde_json::from_str(text).ok()?))
            .map(|(line, _)| line)
            .collect();
        let mut tickets: VecDeque<u64> = self.unconfirmed_lines.drain(..).map(|t| t.1).collect();
        self.begin_page(0);
        for line in unconfirmed {
            match line.body {
                LineBody::Charge(c) => {
                    let entries = c
                        .entries
                        .into_iter()
                        .filter_map(|e| Some((tickets.pop_front()?, e)));
                    self.charges.entry(c.group).or_default().extend(entries);
                }
                body => self.queued_lines.push_back(body),
            }
        }
        self.waiting_since.get_or_insert(0);
        damaged
    }

    /// Returns the time in microseconds for which a worker may report an attempt again after it was charged.
    pub fn duplicate_window(lease: Micros, settings: &Settings) -> Micros {
        10 * lease + 2 * settings.max_clock_offset + 30 * SECOND
    }
}
