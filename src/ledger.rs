//! `gannethub ledger`: reading, checking and exporting the ledger through any controller.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use clap::{Args, Subcommand, ValueEnum};
use comfy_table::Table;
use gannethub_core::http::{Answer, Method};
use gannethub_core::settings::LedgerSetup;
use gannethub_ledger::audit::{Page, Verified, verify};
use gannethub_ledger::book::Head;
use gannethub_ledger::chain::LineMac;
use gannethub_ledger::export::{self, Cell};
use gannethub_ledger::meter::STAGES;
use serde_json::json;

use crate::files::{self, FileError};
use crate::http::{Client, NoFinalAnswer, ask_any};

#[derive(Args)]
pub struct LedgerArgs {
    /// The platform's settings file, for the teams and this controller's address
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// The ledger's settings file, for its keys and half-lives
    #[arg(long, value_name = "FILE", global = true)]
    ledger: Option<PathBuf>,
    /// Controllers to ask, in turn; the settings file's own address if none is named
    #[arg(long, value_name = "ADDRESS", global = true)]
    server: Vec<SocketAddrV4>,
    #[arg(long, value_enum, default_value = "table", global = true)]
    output: Output,
    #[command(subcommand)]
    command: LedgerCommand,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Output {
    Table,
    Json,
}

#[derive(Subcommand)]
enum LedgerCommand {
    /// Every charged attempt
    List {
        /// Of this team only
        #[arg(long)]
        team: Option<String>,
    },
    /// CPU-, GPU- and memory-hours by team and class
    Totals,
    /// Each team's decayed part of all usage, and over what it is due
    Shares,
    /// Check that every line is as it was written
    Verify {
        /// A line's number and tie as an earlier check printed them: it has to be there still
        #[arg(long, value_name = "NUMBER:TIE")]
        head: Option<String>,
    },
    /// Write every charged attempt to a .parquet or .csv file
    Export {
        file: PathBuf,
        /// Of this team only
        #[arg(long)]
        team: Option<String>,
    },
    /// Make a key file, or add a key to one
    Key {
        file: PathBuf,
        /// Add a key that new pages are tied with; the old ones stay for old pages
        #[arg(long)]
        rotate: bool,
    },
}

/// Why a command came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    #[error("{0}")]
    File(#[from] FileError),
    #[error("{0} is needed")]
    Missing(&'static str),
    #[error("--head: a number, a colon and a tie are needed")]
    Head,
    #[error("--team: there is no team {0:?}")]
    Team(String),
    #[error("no controller answers; the last one said: {0}")]
    NoAnswer(String),
    #[error("{0}: {1}")]
    Refused(u16, String),
    #[error("an answer makes no sense: {0}")]
    Garbled(#[from] serde_json::Error),
    #[error("{0}: the name must end with .parquet or .csv")]
    Format(PathBuf),
    #[error("{0}: {1}")]
    Write(PathBuf, String),
    /// The ledger is not as it was written.
    #[error("{0}")]
    Fault(#[from] gannethub_ledger::audit::Fault),
    #[error("{0}")]
    Export(#[from] export::ExportError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl LedgerError {
    /// The program's exit code: 1 where the ledger is not as it was written, 3 where nobody answers, 2 otherwise.
    pub fn code(&self) -> u8 {
        match self {
            LedgerError::Fault(_) => 1,
            LedgerError::NoAnswer(_) => 3,
            _ => 2,
        }
    }
}

/// Carries out a command; what it prints goes to standard output.
pub fn run(args: LedgerArgs) -> Result<(), LedgerError> {
    if let LedgerCommand::Key { file, rotate } = &args.command {
        println!(
            "{}: new pages use {}",
            file.display(),
            files::make_key(file, *rotate)?
        );
        return Ok(());
    }
    let config = args
        .config
        .as_ref()
        .ok_or(LedgerError::Missing("--config"))?;
    let (platform, _) = files::read_settings(config)?;
    let ledger = args
        .ledger
        .as_ref()
        .ok_or(LedgerError::Missing("--ledger"))?;
    let setup = files::read_ledger_setup(ledger, &platform)?;
    let known = |team: &Option<String>| match team {
        Some(t) if platform.team(t).is_none() => Err(LedgerError::Team(t.clone())),
        _ => Ok(()),
    };
    let servers = if args.server.is_empty() {
        vec![platform.listen]
    } else {
        args.server.clone()
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let fetch = || runtime.block_on(fetch(&servers));
    match &args.command {
        LedgerCommand::Key { .. } => Ok(()),
        LedgerCommand::List { team } => {
            known(team)?;
            list(&fetch()?, team.as_deref(), args.output)
        }
        LedgerCommand::Totals => totals(&checked(&fetch()?, &setup, None)?, args.output),
        LedgerCommand::Shares => shares(&checked(&fetch()?, &setup, None)?, &setup, args.output),
        LedgerCommand::Verify { head } => {
            let head = head.as_ref().map(|h| read_head(h)).transpose()?;
            let v = checked(&fetch()?, &setup, head)?;
            let last = v.next.checked_sub(1).map(|n| format!("{n}:{}", v.head));
            match args.output {
                Output::Table => println!(
                    "{} lines on {} pages are as they were written; {} attempts are charged\nhead: {}",
                    v.lines,
                    v.pages,
                    v.charged,
                    last.unwrap_or_default()
                ),
                Output::Json => println!(
                    "{}",
                    json!({"lines": v.lines, "pages": v.pages, "charged": v.charged, "head": last})
                ),
            }
            Ok(())
        }
        LedgerCommand::Export { file, team } => {
            known(team)?;
            write_export(file, &fetch()?, team.as_deref())
        }
    }
}

fn read_head(text: &str) -> Result<(u64, LineMac), LedgerError> {
    let (number, tie) = text.split_once(':').ok_or(LedgerError::Head)?;
    let number = number.parse().map_err(|_| LedgerError::Head)?;
    Ok((number, LineMac::parse(tie).ok_or(LedgerError::Head)?))
}

fn checked(
    pages: &[Page],
    setup: &LedgerSetup,
    head: Option<(u64, LineMac)>,
) -> Result<Verified, LedgerError> {
    Ok(verify(pages, &setup.keys, &setup.settings, head)?)
}

/// All pages that are kept, the oldest first.
pub(crate) async fn fetch(servers: &[SocketAddrV4]) -> Result<Vec<Page>, LedgerError> {
    let clients: Vec<Client> = servers.iter().map(|s| Client::new(*s)).collect();
    let head = match ask(&clients, "/api/ledger").await? {
        Some(body) => serde_json::from_slice::<Head>(&body)?,
        None => return Ok(Vec::new()),
    };
    let mut pages = Vec::new();
    for number in head.kept.. {
        // Those before the first that is there are folded; one that is missing later is found by the check.
        match ask(&clients, &format!("/api/ledger?page={number}")).await? {
            Some(body) => pages.push(serde_json::from_slice(&body)?),
            None if number > head.newest => break,
            None => {}
        }
    }
    Ok(pages)
}

/// Asks controllers in turn until one answers; `None` if there is no such thing.
async fn ask(clients: &[Client], path: &str) -> Result<Option<bytes::Bytes>, LedgerError> {
    match ask_any(clients, Method::Get, path, &[]).await {
        Ok(Answer { status: 200, body }) => Ok(Some(body)),
        Ok(Answer { status: 404, body })
            if String::from_utf8_lossy(&body).contains("no such page") =>
        {
            Ok(None)
        }
        Ok(Answer { status, body }) => Err(LedgerError::Refused(
            status,
            String::from_utf8_lossy(&body).into_owned(),
        )),
        Err(NoFinalAnswer { last_status }) => Err(LedgerError::NoAnswer(
            last_status.map_or("nothing".into(), |status| status.to_string()),
        )),
    }
}

fn cell(c: &Cell) -> serde_json::Value {
    match c {
        Cell::Int(x) => json!(x),
        Cell::Text(t) => json!(t),
        Cell::Flag(f) => json!(f),
    }
}

fn list(pages: &[Page], team: Option<&str>, output: Output) -> Result<(), LedgerError> {
    let rows = export::rows(pages, team)?;
    let names: Vec<&str> = export::names().collect();
    let mut table = Table::new();
    let shown = [
        "team", "job", "task", "machine", "reason", "worth", "begin", "held s", "bound s",
    ];
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(shown);
    for row in &rows {
        let by_name: BTreeMap<&str, &Cell> = names.iter().copied().zip(row).collect();
        if output == Output::Json {
            let object: serde_json::Map<String, serde_json::Value> = by_name
                .iter()
                .map(|(n, c)| (n.to_string(), cell(c)))
                .collect();
            println!("{}", serde_json::Value::Object(object));
            continue;
        }
        let int = |n: &str| match by_name.get(n) {
            Some(Cell::Int(x)) => *x,
            _ => 0,
        };
        let text = |n: &str| match by_name.get(n) {
            Some(Cell::Text(t)) => t.clone(),
            _ => String::new(),
        };
        let s = |t: i64| format!("{:.3}", t as f64 / 1e6);
        let estimate = if by_name.get("estimate") == Some(&&Cell::Flag(true)) {
            " ~"
        } else {
            ""
        };
        table.add_row([
            text("team"),
            text("job"),
            int("task").to_string(),
            text("machine"),
            text("reason"),
            text("worth"),
            s(int("begin")),
            s(int("end") - int("begin")) + estimate,
            s(int("bound")),
        ]);
    }
    if output == Output::Table {
        println!("{table}");
    }
    Ok(())
}

/// Thousandths times microseconds, as hours.
fn hours(x: u128) -> f64 {
    x as f64 / 1e9 / 3600.0
}

fn totals(v: &Verified, output: Output) -> Result<(), LedgerError> {
    let mut table = Table::new();
    let head = [
        "team",
        "class",
        "attempts",
        "cpu h",
        "gpu h",
        "GB h",
        "useful cpu h",
        "lost cpu h",
        "bound h",
    ];
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(head);
    for ((team, class), a) in v.accounts.iter() {
        let (held, useful, lost) = (a.held(), a.useful(), a.lost());
        let stages: BTreeMap<&str, f64> = STAGES
            .iter()
            .enumerate()
            .map(|(i, s)| (*s, hours(a.stage(i)[0])))
            .collect();
        let bound = a.times()[2] as f64 / 3.6e9;
        match output {
            Output::Json => println!(
                "{}",
                json!({"team": team, "class": class, "attempts": a.entries,
                       "cpu_h": hours(held[0]), "gpu_h": hours(held[1]), "gb_h": hours(held[2]),
                       "useful_cpu_h": hours(useful[0]), "lost_cpu_h": hours(lost[0]),
                       "cpu_h_by_stage": stages, "bound_h": bound})
            ),
            Output::Table => {
                let h = |x: u128| format!("{:.4}", hours(x));
                table.add_row([
                    team.clone(),
                    class.clone(),
                    a.entries.to_string(),
                    h(held[0]),
                    h(held[1]),
                    h(held[2]),
                    h(useful[0]),
                    h(lost[0]),
                    format!("{bound:.4}"),
                ]);
            }
        }
    }
    if output == Output::Table {
        println!("{table}");
    }
    Ok(())
}

fn shares(v: &Verified, setup: &LedgerSetup, output: Output) -> Result<(), LedgerError> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.map_or(0, |d| d.as_micros() as u64);
    let shares = v.accounts.shares(&setup.settings, now, &BTreeMap::new());
    let mut table = Table::new();
    let head = [
        "team",
        "due",
        "share",
        "share over due",
        "decayed usage (cost h)",
    ];
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(head);
    for (team, (share, over)) in shares {
        let due = setup.settings.teams[&team].share;
        let usage = v.accounts.usage(&team, &setup.settings, now) / 3600.0;
        match output {
            Output::Json => println!(
                "{}",
                json!({"team": team, "due": due, "share": share, "over_share": over, "usage_h": usage})
            ),
            Output::Table => {
                table.add_row([
                    team,
                    format!("{due:.3}"),
                    format!("{share:.3}"),
                    format!("{over:.2}"),
                    format!("{usage:.4}"),
                ]);
            }
        }
    }
    if output == Output::Table {
        println!("{table}");
    }
    Ok(())
}

fn write_export(file: &Path, pages: &[Page], team: Option<&str>) -> Result<(), LedgerError> {
    let rows = export::rows(pages, team)?;
    let format = file.extension().and_then(|e| e.to_str());
    if !matches!(format, Some("parquet" | "csv")) {
        return Err(LedgerError::Format(file.into()));
    }
    let out = File::create(file).map_err(|e| LedgerError::Write(file.into(), e.to_string()))?;
    match format {
        Some("csv") => export::csv(&rows, out)?,
        _ => export::parquet(&rows, out)?,
    }
    println!("{}: {} rows", file.display(), rows.len());
    Ok(())
}
