//! Pages as they are kept, and whether they are as they were written.

use std::cmp::Ordering;
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

/// Checks pages in the order in which they are given. `head`: a line's number and MAC as an earlier check gave
/// them; it has to be there still, or to have been folded since.
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
    let nothing = || Verified::before(0, LineMac::default());
    let end = verifier.verified.unwrap_or_else(nothing);
    let dropped = |page, line| Fault::new(page, 0, line, FaultKind::Dropped);
    if head.is_some_and(|(number, _)| number >= end.next) {
        // Lines that an earlier check has seen are missing at the end.
        let next_page = first_page + pages.len() as u64;
        return Err(dropped(next_page, end.next));
    }
    if !pages.is_empty() && first_page > kept {
        return Err(dropped(first_page, end.first.saturating_sub(1)));
    }
    Ok(end)
}

/// Goes through the pages one by one.
struct Verifier<'a> {
    keys: &'a KeyRing,
    settings: &'a Settings,
    head: Option<(u64, LineMac)>,
    verified: Option<Verified>,
    balances: BalanceChecker,
}

impl Verifier<'_> {
    fn verify_page(&mut self, page: &Page, expected: u64) -> Result<(), Fault> {
        let first_line = self.verified.as_ref().map_or(page.first, |seen| seen.next);
        let fault = |line, kind| Err(Fault::new(page.page, 0, line, kind));
        match page.page.cmp(&expected) {
            Ordering::Greater => return fault(first_line, FaultKind::Dropped),
            Ordering::Less => return fault(first_line, FaultKind::Doubled),
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
            .get_or_insert_with(|| Verified::before(first_line, previous));
        if verified.head != previous || page.first != verified.next {
            return fault(verified.next, FaultKind::Altered);
        }
        verified.pages += 1;
        for (position, value) in page.lines.iter().enumerate() {
            let expected = verified.next;
            let fault = |kind| Fault::new(page.page, position, expected, kind);
            let (line, mac) = Line::read(value).ok_or_else(|| fault(FaultKind::Altered))?;
            if line.number != expected || verified.head.next(key, &line.text()) != mac {
                return Err(fault(fault_of_line(
                    &line,
                    expected,
                    &page.lines[position..],
                )));
            }
            let is_known_line = |(number, known)| number == line.number && known != mac;
            if self.head.is_some_and(is_known_line) {
                return Err(fault(FaultKind::Altered));
            }
            if !self.balances.take(&line, verified, self.settings) {
                return Err(fault(FaultKind::Unbalanced));
            }
            if let LineBody::Charge(charge) = &line.body {
                verified.charged += charge.entries.len() as u64;
            }
            verified.accounts.line(&line, self.settings);
            verified.head = mac;
            verified.next = line.number + 1;
            verified.lines += 1;
        }
        Ok(())
    }
}

/// What is wrong with a line that is not the expected one, or not as it was written. `rest`: it and the page's
/// lines after it.
fn fault_of_line(line: &Line, expected: u64, rest: &[Value]) -> FaultKind {
    let mut later = rest.iter().filter_map(Line::read).skip(1);
    match line.number.cmp(&expected) {
        Ordering::Equal => FaultKind::Altered,
        Ordering::Less => FaultKind::Doubled,
        Ordering::Greater if later.any(|(other, _)| other.number == expected) => {
            FaultKind::Reordered
        }
        Ordering::Greater => FaultKind::Dropped,
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
