//! `gannethub ledger`: the command that reads, checks and exports the ledger through any controller.
//!
//! `fetch` reads the pages, and `print` prints their content.

mod fetch;
mod print;

use std::fs::File;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand, ValueEnum};
use gannethub_core::settings::{LedgerSetup, Settings};
use gannethub_ledger::audit::{Page, Verified, verify};
use gannethub_ledger::chain::LineMac;
use gannethub_ledger::export;

pub(crate) use self::fetch::fetch_pages;
use crate::files::{self, FileError};

/// Exit codes of failed commands.
const LEDGER_CHANGED: u8 = 1;
const UNUSABLE_ARGUMENTS: u8 = 2;
const NO_CONTROLLER: u8 = 3;

#[derive(Args)]
pub struct LedgerArgs {
    /// Platform settings file, with the teams and the controller's address
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// Ledger settings file, with the keys and the half-lives
    #[arg(long, value_name = "FILE", global = true)]
    ledger: Option<PathBuf>,
    /// Controllers to ask, in turn; defaults to the address in the settings file
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
    /// Print every charged attempt
    List {
        /// Only attempts of this team
        #[arg(long)]
        team: Option<String>,
    },
    /// Print CPU-, GPU- and memory-hours by team and class
    Totals,
    /// Print each team's decayed share of all usage, and that share divided by the team's due share
    Shares,
    /// Check that no line was changed since it was written
    Verify {
        /// Number and tie of a line, as printed by an earlier check; the ledger must still contain this line or have
        /// folded it into a balance
        #[arg(long, value_name = "NUMBER:TIE")]
        head: Option<String>,
    },
    /// Write every charged attempt to a .parquet or .csv file
    Export {
        file: PathBuf,
        /// Only attempts of this team
        #[arg(long)]
        team: Option<String>,
    },
    /// Create a key file, or add a key to one
    Key {
        file: PathBuf,
        /// Add a key that authenticates new pages; old keys are kept for old pages
        #[arg(long)]
        rotate: bool,
    },
}

/// Errors of the `ledger` commands.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    #[error("{0}")]
    File(#[from] FileError),
    #[error("{0} is required")]
    MissingOption(&'static str),
    #[error("--head: expected NUMBER:TIE")]
    InvalidHead,
    #[error("--team: unknown team {0:?}")]
    UnknownTeam(String),
    #[error("no controller gave a final answer; the last one answered: {}", status_or_nothing(*.last_status))]
    NoAnswer { last_status: Option<u16> },
    #[error("a controller answered with status {status}: {body}")]
    UnexpectedAnswer { status: u16, body: String },
    #[error("cannot parse the answer of a controller: {0}")]
    MalformedAnswer(#[from] serde_json::Error),
    #[error("{0}: the name must end with .parquet or .csv")]
    UnknownFormat(PathBuf),
    #[error("cannot create {file}: {source}")]
    CannotCreate {
        file: PathBuf,
        source: std::io::Error,
    },
    /// The ledger was changed after it was written, or does not reach the given head.
    #[error("{0}")]
    Changed(#[from] gannethub_ledger::audit::Fault),
    #[error("{0}")]
    Export(#[from] export::ExportError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl LedgerError {
    /// Returns the exit code of the program: 1 if the ledger was changed after it was written, 3 if no controller gave
    /// a final answer, 2 otherwise.
    pub fn exit_code(&self) -> u8 {
        match self {
            LedgerError::Changed(_) => LEDGER_CHANGED,
            LedgerError::NoAnswer { .. } => NO_CONTROLLER,
            _ => UNUSABLE_ARGUMENTS,
        }
    }
}

fn status_or_nothing(status: Option<u16>) -> String {
    status.map_or("nothing".into(), |status| status.to_string())
}

/// Runs a command and prints its result to standard output.
pub fn run(args: LedgerArgs) -> Result<(), LedgerError> {
    if let LedgerCommand::Key { file, rotate } = &args.command {
        let id = files::make_key(file, *rotate)?;
        println!("{}: new pages use {id}", file.display());
        return Ok(());
    }
    let LedgerArgs {
        config,
        ledger,
        server,
        output,
        command,
    } = args;
    let config = config.ok_or(LedgerError::MissingOption("--config"))?;
    let (platform, _) = files::read_settings(&config)?;
    let ledger = ledger.ok_or(LedgerError::MissingOption("--ledger"))?;
    let setup = files::read_ledger_setup(&ledger, &platform)?;
    let reader = LedgerReader {
        servers: if server.is_empty() {
            vec![platform.listen]
        } else {
            server
        },
        platform,
        setup,
        runtime: tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?,
    };
    reader.run(command, output)
}

/// The number and the MAC of the line that was the ledger's last at an earlier check. The command line calls the MAC a
/// tie.
struct LedgerHead {
    number: u64,
    mac: LineMac,
}

impl LedgerHead {
    /// Parses a head in the form `NUMBER:TIE` that an earlier check printed.
    fn parse(text: &str) -> Result<LedgerHead, LedgerError> {
        let (number, mac) = text.split_once(':').ok_or(LedgerError::InvalidHead)?;
        Ok(LedgerHead {
            number: number.parse().map_err(|_| LedgerError::InvalidHead)?,
            mac: LineMac::parse(mac).ok_or(LedgerError::InvalidHead)?,
        })
    }
}

/// The settings, keys and connections of the commands that read a ledger.
struct LedgerReader {
    platform: Settings,
    setup: LedgerSetup,
    /// Controllers to ask, in turn.
    servers: Vec<SocketAddrV4>,
    runtime: tokio::runtime::Runtime,
}

impl LedgerReader {
    fn run(&self, command: LedgerCommand, output: Output) -> Result<(), LedgerError> {
        match command {
            // The key command needs no ledger and has already run in `run`.
            LedgerCommand::Key { .. } => Ok(()),
            LedgerCommand::List { team } => {
                self.check_team(team.as_deref())?;
                print::attempts(&self.fetch()?, team.as_deref(), output)
            }
            LedgerCommand::Totals => {
                print::totals(&self.fetch_verified(None)?, output);
                Ok(())
            }
            LedgerCommand::Shares => {
                print::shares(&self.fetch_verified(None)?, &self.setup, output);
                Ok(())
            }
            LedgerCommand::Verify { head } => {
                let head = head.as_deref().map(LedgerHead::parse).transpose()?;
                print::verification(&self.fetch_verified(head)?, output);
                Ok(())
            }
            LedgerCommand::Export { file, team } => {
                self.check_team(team.as_deref())?;
                write_export(&file, &self.fetch()?, team.as_deref())
            }
        }
    }

    fn check_team(&self, team: Option<&str>) -> Result<(), LedgerError> {
        match team {
            Some(name) if self.platform.team(name).is_none() => {
                Err(LedgerError::UnknownTeam(name.to_string()))
            }
            _ => Ok(()),
        }
    }

    fn fetch(&self) -> Result<Vec<Page>, LedgerError> {
        self.runtime.block_on(fetch_pages(&self.servers))
    }

    /// Reads all pages and checks that no line was changed since it was written. The line of an earlier check must
    /// still be present, or have been folded into a balance since.
    fn fetch_verified(&self, head: Option<LedgerHead>) -> Result<Verified, LedgerError> {
        let pages = self.fetch()?;
        let head = head.map(|head| (head.number, head.mac));
        let LedgerSetup { settings, keys } = &self.setup;
        Ok(verify(&pages, keys, settings, head)?)
    }
}

/// Writes every charged attempt to a file. The file name's extension selects the format.
fn write_export(file: &Path, pages: &[Page], team: Option<&str>) -> Result<(), LedgerError> {
    let rows = export::rows(pages, team)?;
    let extension = file.extension().and_then(|extension| extension.to_str());
    let Some(extension @ ("parquet" | "csv")) = extension else {
        return Err(LedgerError::UnknownFormat(file.into()));
    };
    let output = File::create(file).map_err(|source| LedgerError::CannotCreate {
        file: file.into(),
        source,
    })?;
    if extension == "csv" {
        export::csv(&rows, output)?;
    } else {
        export::parquet(&rows, output)?;
    }
    println!("{}: {} rows", file.display(), rows.len());
    Ok(())
}
