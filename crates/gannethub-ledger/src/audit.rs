//! Stored pages, and the verification that they are unchanged since they were written.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::account::Accounts;
use crate::chain::{KeyRing, LineMac};
use crate::line::{BalanceAssembler, Line, LineBody};
use crate::settings::Settings;

/// A page as the state service stores it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Page {
    /// Page number. Pages are numbered from zero without gaps.
    pub page: u64,
    /// Number of the first line of the page.
    pub first: u64,
    /// MAC of the line before the first line.
    pub prev: String,
    /// Id of the key with which the MACs of the lines are computed.
    pub key: String,
    pub lines: Vec<Value>,
}

impl Page {
    /// Returns the lines and their MACs. The error is the index of the first value that is not a line.
    pub fn read(&self) -> Result<Vec<(Line, LineMac)>, usize> {
        let read = |(i, v)| Line::read(v).ok_or(i);
        self.lines.iter().enumerate().map(read).collect()
    }
}

/// Kind of fault that verification finds in a ledger.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultKind {
    /// The line is unreadable, does not match its MAC, or is not the line that the head of an earlier verification
    /// names; or the page does not continue the page before it.
    Altered,
    /// The expected line is missing.
    Missing,
    /// The same line, or a line with the same number, already appeared earlier.
    Duplicated,
    /// A line with a higher number comes before the expected line.
    Reordered,
    /// The page names a key that is not in the key file.
    UnknownKey,
    /// A balance differs from the sums of the lines before it.
    Unbalanced,
}

/// The first fault of a ledger: the line at which verification stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub page: u64,
    /// Index of the line in its page, from zero.
    pub position: usize,
    /// Number that the line should have.
    pub line: u64,
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            FaultKind::Altered => "was altered",
            FaultKind::Missing => "is missing",
            FaultKind::Duplicated => "is displaced by a duplicate of an earlier line",
            FaultKind::Reordered => "is out of order: a line with a higher number precedes it",
            FaultKind::UnknownKey => {
                "cannot be checked: the key of its page is not in the key file"
            }
            FaultKind::Unbalanced => "belongs to a balance that differs from the lines before it",
        };
        write!(
            f,
            "page {}, position {}: line {} {what}",
            self.page, self.position, self.line
        )
    }
}

impl std::error::Error for Fault {}

impl Fault {
    fn new(page: u64, position: usize, line: u64, kind: FaultKind) -> Fault {
        Fault {
            page,
            position,
            line,
            kind,
        }
    }
}

/// Result of verifying a ledger without a fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Verified {
    pub pages: usize,
    pub lines: u64,
    /// Number of charged attempts.
    pub charged_attempts: u64,
    /// Number of the first line.
    pub first_line: u64,
    /// Number that follows the number of the last line.
    pub next_line: u64,
    /// MAC of the last line.
    pub last_mac: LineMac,
    pub accounts: Accounts,
    /// Whether the accounts cover the ledger from line zero: either the first line is line zero, or a balance supplied
    /// the sums of the lines before the first one.
    pub covers_all_lines: bool,
}

impl Verified {
    /// Returns an empty result that starts at line number `first_line`, after the line with the MAC `last_mac`.
    fn starting_at(first_line: u64, last_mac: LineMac) -> Verified {
        Verified {
            pages: 0,
            lines: 0,
            charged_attempts: 0,
            first_line,
            next_line: first_line,
            last_mac,
            accounts: Accounts::default(),
            covers_all_lines: first_line == 0,
        }
    }
}

/// Verifies pages in the given order. `head` is the number and the MAC of a line, as returned by an earlier
/// verification: that line must still be present, or have been folded into a balance since.
pub fn verify(
    pages: &[Page],
    keys: &KeyRing,
    settings: &Settings,
    head: Option<(u64, LineMac)>,
) -> Result<Verified, Fault> {
    let mut verifier = Verifier {
        keys,
        settings,
        head,
        verified: None,
        balances: BalanceChecker::default(),
    };
    let first_page = pages.first().map_or(0, |page| page.page);
    for (page, expected) in pages.iter().zip(first_page..) {
        verifier.verify_page(page, expected)?;
    }
    let kept = verifier.balances.kept;
    let empty = || Verified::starting_at(0, LineMac::default());
    let end = verifier.verified.unwrap_or_else(empty);
    let missing = |page, line| Fault::new(page, 0, line, FaultKind::Missing);
    if head.is_some_and(|(number, _)| number >= end.next_line) {
        // Lines that an earlier verification saw are missing at the end.
        let next_page = first_page + pages.len() as u64;
        return Err(missing(next_page, end.next_line));
    }
    if !pages.is_empty() && first_page > kept {
        return Err(missing(first_page, end.first_line.saturating_sub(1)));
    }
    Ok(end)
}

/// Verifies the pages one by one.
struct Verifier<'a> {
    keys: &'a KeyRing,
    settings: &'a Settings,
    head: Option<(u64, LineMac)>,
    verified: Option<Verified>,
    balances: BalanceChecker,
}

impl Verifier<'_> {
    fn verify_page(&mut self, page: &Page, expected: u64) -> Result<(), Fault> {
        let first_line = self
            .verified
            .as_ref()
            .map_or(page.first, |seen| seen.next_line);
        let fault = |line, kind| Err(Fault::new(page.page, 0, line, kind));
        match page.page.cmp(&expected) {
            Ordering::Greater => return fault(first_line, FaultKind::Missing),
            Ordering::Less => return fault(first_line, FaultKind::Duplicated),
            Ordering::Equal => {}
        }
        let Some(key) = self.keys.get(&page.key) else {
            return fault(first_line, FaultKind::UnknownKey);
        };
        let Some(previous) = LineMac::parse(&page.prev) else {
            return fault(first_line, FaultKind::Altered);
        };
        let verified = self
            .verified
            .get_or_insert_with(|| Verified::starting_at(first_line, previous));
        if verified.last_mac != previous || page.first != verified.next_line {
            return fault(verified.next_line, FaultKind::Altered);
        }
        verified.pages += 1;
        for (position, value) in page.lines.iter().enumerate() {
            let expected = verified.next_line;
            let fault = |kind| Fault::new(page.page, position, expected, kind);
            let (line, mac) = Line::read(value).ok_or_else(|| fault(FaultKind::Altered))?;
            if line.number != expected || verified.last_mac.next(key, &line.text()) != mac {
                return Err(fault(fault_of_line(
                    &line,
                    expected,
                    &page.lines[position..],
                )));
            }
            let differs_from_known = |(number, known)| number == line.number && known != mac;
            if self.head.is_some_and(differs_from_known) {
                return Err(fault(FaultKind::Altered));
            }
            if !self.balances.check_line(&line, verified, self.settings) {
                return Err(fault(FaultKind::Unbalanced));
            }
            if let LineBody::Charge(charge) = &line.body {
                verified.charged_attempts += charge.entries.len() as u64;
            }
            verified.accounts.add_line(&line, self.settings);
            verified.last_mac = mac;
            verified.next_line = line.number + 1;
            verified.lines += 1;
        }
        Ok(())
    }
}

/// Returns the fault of a line that is not the expected line or does not match its MAC. `rest` holds that line and the
/// lines after it in the page.
fn fault_of_line(line: &Line, expected: u64, rest: &[Value]) -> FaultKind {
    let mut later = rest.iter().filter_map(Line::read).skip(1);
    match line.number.cmp(&expected) {
        Ordering::Equal => FaultKind::Altered,
        Ordering::Less => FaultKind::Duplicated,
        Ordering::Greater if later.any(|(other, _)| other.number == expected) => {
            FaultKind::Reordered
        }
        Ordering::Greater => FaultKind::Missing,
    }
}

/// Compares each balance with the sums of the lines before it.
#[derive(Default)]
struct BalanceChecker {
    /// First page that must still exist; earlier pages are folded into a balance and may be deleted.
    kept: u64,
    parts: BalanceAssembler,
}

impl BalanceChecker {
    /// Processes the next line. Returns false if the line belongs to a balance that differs from the lines before it.
    fn check_line(&mut self, line: &Line, verified: &mut Verified, settings: &Settings) -> bool {
        if let LineBody::Balance(b) = &line.body {
            // A balance covers exactly the lines before itself, so its parts can be compared with those lines.
            self.kept = self.kept.max(b.kept);
            if b.end_line != line.number {
                return false;
            }
        }
        let Some(parts) = self.parts.add_line(&line.body) else {
            return true;
        };
        let recorded = Accounts::from_balance_parts(&parts, settings);
        if verified.covers_all_lines {
            return account_sums(&recorded) == account_sums(&verified.accounts);
        }
        // The first balance after the oldest remaining line also covers the deleted lines, so its sums replace the
        // sums of the lines read so far.
        verified.accounts = recorded;
        verified.covers_all_lines = true;
        true
    }
}

/// An account's team, class and number of entries, and the sums of [`Account::held`](crate::Account::held) and
/// [`Account::times`](crate::Account::times).
type AccountSums<'a> = (&'a str, &'a str, u64, [u128; 3], [u128; 3]);

/// Returns the sums by which accounts are compared. Decayed usage is excluded, because it depends on half-lives, which
/// the operator may change.
fn account_sums(accounts: &Accounts) -> Vec<AccountSums<'_>> {
    let sums = accounts
        .iter()
        .map(|((team, class), a)| (&**team, &**class, a.charged_attempts, a.held(), a.times()));
    sums.collect()
}
