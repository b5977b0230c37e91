//! Pages as they are kept, and whether they are as they were written.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::account::Accounts;
use crate::chain::{KeyRing, LineMac};
use crate::line::{BalanceAssembler, Line, LineBody};
use crate::settings::Settings;

/// A page as the state service holds it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Page {
    /// Its number, from zero without gaps.
    pub page: u64,
    /// The number of its first line, and the tie of the line before that.
    pub first: u64,
    pub prev: String,
    /// The key that its lines are tied with.
    pub key: String,
    pub lines: Vec<Value>,
}

impl Page {
    /// Its lines and their ties; an error is the place of the first that is none.
    pub fn read(&self) -> Result<Vec<(Line, LineMac)>, usize> {
        let read = |(i, v)| Line::read(v).ok_or(i);
        self.lines.iter().enumerate().map(read).collect()
    }
}

/// What is wrong with a ledger.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultKind {
    /// It is not a line, or not the one that was tied here.
    Altered,
    /// The line before it is missing.
    Dropped,
    /// It, or a line with its number, has come before.
    Doubled,
    /// A later line stands before it.
    Reordered,
    /// The page names a key that is not in the key file.
    UnknownKey,
    /// A balance does not say what the lines before it come to.
    Unbalanced,
}

/// The first line that is not as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub page: u64,
    /// The line's place in the page and the number that it should have.
    pub position: usize,
    pub line: u64,
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            FaultKind::Altered => "was altered",
            FaultKind::Dropped => "is missing",
            FaultKind::Doubled => "stands where another one should: a line appears twice",
            FaultKind::Reordered => "is not in its place: lines were reordered",
            FaultKind::UnknownKey => {
                "cannot be checked: the key of its page is not in the key file"
            }
            FaultKind::Unbalanced => "is part of a balance that the lines before it do not come to",
        };
        write!(
            f,
            "page {}, line {}: line {} {what}",
            self.page, self.position, self.line
        )
    }
}

impl std::error::Error for Fault {}

/// What a ledger that verifies comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Verified {
    pub pages: usize,
    pub lines: u64,
    pub charged: u64,
    /// The numbers of the first and of the next line, and the tie of the last one.
    pub first: u64,
    pub next: u64,
    pub head: LineMac,
    pub accounts: Accounts,
    /// Lines from the first one on are in the accounts, and those before it by a balance, if one says so.
    pub whole: bool,
}

impl Verified {
    /// Nothing yet, before the line with this number and after the one with this tie.
    fn before(first: u64, head: LineMac) -> Verified {
        Verified {
            pages: 0,
            lines: 0,
            charged: 0,
            first,
            next: first,
            head,
            accounts: Accounts::default(),
            whole: first == 0,
        }
    }
}

/// Checks pages in the order in which they are given. `head`: a line's number and tie as an earlier check gave
/// them; it has to be there still, or to have been folded since.
pub fn verify(
    pages: &[Page],
    keys: &KeyRing,
    settings: &Settings,
    head: Option<(u64, LineMac)>,
) -> Result<Verified, Fault> {
    let fault = |page: u64, place, seq, wrong| {
        Err(Fault {
            page,
            position: place,
            line: seq,
            kind: wrong,
        })
    };
    let mut seen: Option<Verified> = None;
    let mut expected_page = pages.first().map_or(0, |p| p.page);
    let mut fold = BalanceChecker::default();
    for page in pages {
        let first = seen.as_ref().map_or(page.first, |s| s.next);
        if page.page != expected_page {
            let wrong = match page.page > expected_page {
                true => FaultKind::Dropped,
                false => FaultKind::Doubled,
            };
            return fault(page.page, 0, first, wrong);
        }
        expected_page += 1;
        let Some(key) = keys.get(&page.key) else {
            return fault(page.page, 0, first, FaultKind::UnknownKey);
        };
        let Some(prev) = LineMac::parse(&page.prev) else {
            return fault(page.page, 0, first, FaultKind::Altered);
        };
        let v = seen.get_or_insert_with(|| Verified::before(first, prev));
        if v.head != prev || page.first != v.next {
            return fault(page.page, 0, v.next, FaultKind::Altered);
        }
        v.pages += 1;
        for (place, value) in page.lines.iter().enumerate() {
            let Some((line, tie)) = Line::read(value) else {
                return fault(page.page, place, v.next, FaultKind::Altered);
            };
            if line.number != v.next || v.head.next(key, &line.text()) != tie {
                let rest = page.lines[place..].iter().filter_map(Line::read);
                let later = rest.skip(1).any(|(l, _)| l.number == v.next);
                let wrong = match line.number.cmp(&v.next) {
                    std::cmp::Ordering::Equal => FaultKind::Altered,
                    std::cmp::Ordering::Less => FaultKind::Doubled,
                    std::cmp::Ordering::Greater if later => FaultKind::Reordered,
                    std::cmp::Ordering::Greater => FaultKind::Dropped,
                };
                return fault(page.page, place, v.next, wrong);
            }
            if head.is_some_and(|(seq, known)| seq == line.number && known != tie) {
                return fault(page.page, place, line.number, FaultKind::Altered);
            }
            if !fold.take(&line, v, settings) {
                return fault(page.page, place, line.number, FaultKind::Unbalanced);
            }
            if let LineBody::Charge(c) = &line.body {
                v.charged += c.entries.len() as u64;
            }
            v.accounts.line(&line, settings);
            (v.head, v.next, v.lines) = (tie, line.number + 1, v.lines + 1);
        }
    }
    let end = seen.unwrap_or_else(|| Verified::before(0, LineMac::default()));
    // Lines that an earlier check has seen are missing at the end.
    match head {
        Some((seq, _)) if seq >= end.next => fault(expected_page, 0, end.next, FaultKind::Dropped),
        _ if pages.first().is_some_and(|p| p.page > fold.kept) => fault(
            pages[0].page,
            0,
            end.first.saturating_sub(1),
            FaultKind::Dropped,
        ),
        _ => Ok(end),
    }
}

/// Holds balances against the lines before them.
#[derive(Default)]
struct BalanceChecker {
    /// Pages before this one may be gone.
    kept: u64,
    parts: BalanceAssembler,
}

impl BalanceChecker {
    /// Takes the next line; whether it balances.
    fn take(&mut self, line: &Line, v: &mut Verified, settings: &Settings) -> bool {
        if let LineBody::Balance(b) = &line.body {
            // It speaks of all lines before itself, so its parts can be held against them.
            self.kept = self.kept.max(b.kept);
            if b.upto != line.number {
                return false;
            }
        }
        let Some(parts) = self.parts.take(&line.body) else {
            return true;
        };
        let said = Accounts::from_parts(&parts, settings);
        if v.whole {
            return account_sums(&said) == account_sums(&v.accounts);
        }
        // What came before the first line that is left is what the balance has more.
        v.accounts = said;
        v.whole = true;
        true
    }
}

/// An account's team and class, its entries, what they held and for how long.
type AccountSums<'a> = (&'a str, &'a str, u64, [u128; 3], [u128; 3]);

/// What is compared: decayed usage depends on half-lives, which the operator may change.
fn account_sums(accounts: &Accounts) -> Vec<AccountSums<'_>> {
    let sums = accounts
        .iter()
        .map(|((t, c), a)| (&**t, &**c, a.entries, a.held(), a.times()));
    sums.collect()
}
