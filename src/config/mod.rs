//! `gannethub config`: operators read and change the configuration while the service runs.

mod show;
pub mod store;
mod wait;

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use gannethub_core::configuration::{Document, DocumentError};
use gannethub_core::settings::Settings;

use crate::files::{self, FileError};
use crate::http::Client;
use store::{Author, ConfigError, ConfigStore, Current};

#[derive(Args)]
pub struct ConfigArgs {
    /// The platform's settings file of a controller: where the state service is, and what holds where no version says
    /// otherwise
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The policy file that the controllers are started with
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Controllers to ask which version is in force; the settings file's own where none is named
    #[arg(long, value_delimiter = ',', value_name = "ADDR")]
    controllers: Vec<SocketAddrV4>,
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// What holds, and where each value comes from
    Show,
    /// Check a file, and change nothing
    Check { file: PathBuf },
    /// What a file would change
    Diff { file: PathBuf },
    /// Make a file the next version
    Apply {
        file: PathBuf,
        /// Why; it is kept with the version
        #[arg(long)]
        why: String,
        /// Who; the name of the user who runs this where it is not given
        #[arg(long)]
        by: Option<String>,
        /// End when it is in force everywhere, and print after how long
        #[arg(long)]
        wait: bool,
    },
    /// The versions that are kept, the newest first
    History,
    /// Make an earlier version's document the next version; 0: the platform's settings alone
    Rollback {
        version: u64,
        #[arg(long)]
        why: String,
        #[arg(long)]
        by: Option<String>,
        #[arg(long)]
        wait: bool,
    },
}

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    File(#[from] FileError),
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{file}:{line}: {field}: {reason}")]
    Field {
        file: String,
        line: usize,
        field: String,
        reason: String,
    },
    #[error("{0}: {1}")]
    Parse(String, Box<toml::de::Error>),
    #[error("no controller of {0:?} tells which version is in force; nothing was changed")]
    NoController(Vec<SocketAddrV4>),
    #[error(
        "{0:?} are of a release that knows of no configuration, or were never heard; nothing was changed"
    )]
    OldControllers(Vec<String>),
    #[error(
        "version {version} is stored, and a controller cannot use it: {reason}; the one before holds"
    )]
    CannotUse { version: u64, reason: String },
    #[error(
        "version {version} is not known to be in force everywhere after {seconds} s: not at {missing:?}"
    )]
    NotInForce {
        version: u64,
        seconds: u64,
        missing: Vec<String>,
    },
}

/// Carries out a command, and prints what comes of it.
pub fn run(args: ConfigArgs) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, command(args))
}

async fn command(args: ConfigArgs) -> Result<(), CommandError> {
    let (mut base, _) = files::read_settings(&args.config)?;
    if let Some(file) = &args.policy {
        base.policy = files::read_policy(file)?;
    }
    let controllers = if args.controllers.is_empty() {
        vec![base.listen]
    } else {
        args.controllers
    };
    let client = Client::new(base.state);
    let store = ConfigStore {
        client: &client,
        base: &base,
    };
    let change = Change {
        store: &store,
        controllers: &controllers,
    };
    match args.command {
        ConfigCommand::Check { file } => {
            let document = read(&file, &base)?;
            println!("{}: fine, {} teams", file.display(), document.teams.len());
        }
        ConfigCommand::Show => print!("{}", show::all(&store.current().await?, &base)),
        ConfigCommand::Diff { file } => {
            let (wanted, current) = (read(&file, &base)?, store.current().await?);
            let next = current.document.followed_by(wanted, &base);
            print!("{}", show::differences(&current.document, &next, &base));
        }
        ConfigCommand::History => print!("{}", show::history(&store.current().await?.history)),
        ConfigCommand::Apply {
            file,
            why,
            by,
            wait,
        } => {
            let wanted = read(&file, &base)?;
            change
                .make(store.current().await?, wanted, author(by, why), wait)
                .await?;
        }
        ConfigCommand::Rollback {
            version,
            why,
            by,
            wait,
        } => {
            let current = store.current().await?;
            let wanted = store.kept(&current, version).await?;
            change.make(current, wanted, author(by, why), wait).await?;
        }
    }
    Ok(())
}

/// A change that is to be made.
struct Change<'a> {
    store: &'a ConfigStore<'a, Client>,
    controllers: &'a [SocketAddrV4],
}

impl Change<'_> {
    async fn make(
        &self,
        current: Current,
        wanted: Document,
        author: Author,
        wait: bool,
    ) -> Result<(), CommandError> {
        wait::refuse_old(self.controllers).await?;
        let record = self.store.store(&current, wanted, &author).await?;
        println!("version {} is stored", record.version);
        if wait {
            let took = wait::in_force(self.controllers, record.version).await?;
            println!(
                "version {} is in force everywhere after {took:.1} s",
                record.version
            );
        }
        Ok(())
    }
}

fn author(by: Option<String>, why: String) -> Author {
    let user = || std::env::var("USER").unwrap_or_else(|_| "unknown".into());
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64);
    Author {
        by: by.unwrap_or_else(user),
        why,
        at,
        nonce: rand::random(),
    }
}

/// Reads and checks an operators' file.
fn read(file: &Path, base: &Settings) -> Result<Document, CommandError> {
    let text = files::read_text(file)?;
    parse(&text, &file.display().to_string(), base)
}

fn parse(text: &str, file: &str, base: &Settings) -> Result<Document, CommandError> {
    let document: Document =
        toml::from_str(text).map_err(|e| CommandError::Parse(file.into(), Box::new(e)))?;
    match document.effective(base, base) {
        Ok(_) => Ok(document),
        Err(DocumentError { field, reason }) => {
            let line = line_of(text, &field);
            Err(CommandError::Field {
                file: file.into(),
                line,
                field,
                reason,
            })
        }
    }
}

/// The line of a field such as `teams[3].cpus`: that of its key, or of the table that it should be in.
fn line_of(text: &str, field: &str) -> usize {
    let (table, rest) = field.split_once('[').unwrap_or((field, ""));
    let (index, key) = rest.split_once("].").unwrap_or(("", table));
    let header = format!("[[{table}]]");
    let lines = || text.lines().enumerate();
    let begins = |line: &str| {
        let line = line.trim_start();
        line.strip_prefix(key)
            .is_some_and(|rest| rest.trim_start().starts_with('='))
    };
    let Ok(index) = index.parse::<usize>() else {
        return lines().find(|(_, l)| begins(l)).map_or(1, |(i, _)| i + 1);
    };
    let Some((start, _)) = lines().filter(|(_, l)| l.trim() == header).nth(index) else {
        return 1;
    };
    let inside = lines()
        .skip(start + 1)
        .take_while(|(_, l)| !l.trim_start().starts_with('['));
    inside
        .into_iter()
        .find(|(_, l)| begins(l))
        .map_or(start + 1, |(i, _)| i + 1)
}

#[cfg(test)]
mod tests;
