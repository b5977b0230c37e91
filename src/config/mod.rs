//! `gannethub config`: the command with which operators read and change the configuration while the service runs.
//!
//! [`store`] reads and writes versions in the state service, and [`rollout`] asks the controllers which version is in
//! force. [`document_file`] reads the operators' files, and [`show`] formats the configuration as text.

mod document_file;
mod rollout;
mod show;
pub mod store;

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use gannethub_core::configuration::Document;
use gannethub_core::wire::configuration::VersionRecord;

use crate::files::{self, FileError};
use crate::http::Client;
use store::{Author, ConfigError, ConfigStore, CurrentConfig};

// `--help` prints the doc comments of the arguments.

/// The arguments of `gannethub config`.
#[derive(Args)]
#[command(about = "Read and change the configuration while the service runs")]
pub struct ConfigArgs {
    /// Platform settings file of a controller, with the address of the state service and the values that hold where no
    /// version sets them
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Policy file that the controllers are started with
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Controllers to ask which version is in force; defaults to the address in the settings file
    #[arg(long, value_delimiter = ',', value_name = "ADDR")]
    controllers: Vec<SocketAddrV4>,
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Print the configuration and the origin of each value
    Show,
    /// Check a file without changing anything
    Check { file: PathBuf },
    /// Print the changes that a file would make
    Diff { file: PathBuf },
    /// Make a file the next version
    Apply {
        file: PathBuf,
        /// Reason for the change, stored with the version
        #[arg(long)]
        why: String,
        /// Author of the change; defaults to the user who runs the command
        #[arg(long)]
        by: Option<String>,
        /// Wait until the version is in force everywhere, and print the time needed
        #[arg(long)]
        wait: bool,
    },
    /// Print the versions that are kept, newest first
    History,
    /// Make the document of an earlier version the next version; 0 restores the platform settings alone
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

/// Errors of the `config` commands.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    File(#[from] FileError),
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A field of the operators' file has an invalid value.
    #[error("{file}:{line}: {field}: {reason}")]
    InvalidField {
        file: String,
        line: usize,
        field: String,
        reason: String,
    },
    #[error("{file}: {source}")]
    Syntax {
        file: String,
        source: Box<toml::de::Error>,
    },
    #[error("no controller of {0:?} reports the version in force; nothing was changed")]
    NoController(Vec<SocketAddrV4>),
    /// These controllers do not support versions, or were never heard from, so they might keep their current
    /// configuration.
    #[error(
        "controllers {0:?} run a release without configuration versions, or were never heard from; nothing was changed"
    )]
    UnsupportedControllers(Vec<String>),
    #[error(
        "version {version} is stored, but a controller cannot use it: {reason}; the previous version stays in force"
    )]
    Unusable { version: u64, reason: String },
    #[error(
        "version {version} is not known to be in force everywhere after {seconds} s; missing controllers: {missing:?}"
    )]
    NotInForce {
        version: u64,
        seconds: u64,
        missing: Vec<String>,
    },
}

/// Runs a command and prints its result.
pub fn run(args: ConfigArgs) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run_command(args))
}

async fn run_command(args: ConfigArgs) -> Result<(), CommandError> {
    let (mut base, _) = files::read_settings(&args.config)?;
    if let Some(file) = &args.policy {
        base.policy = files::read_policy(file)?;
    }
    let client = Client::new(base.store_addr);
    let operator = Operator {
        controllers: if args.controllers.is_empty() {
            vec![base.listen]
        } else {
            args.controllers
        },
        store: ConfigStore {
            client: &client,
            base: &base,
        },
    };
    operator.run(args.command).await
}

/// The store and the controllers that the commands use.
struct Operator<'a> {
    store: ConfigStore<'a, Client>,
    /// Controllers to ask which version is in force.
    controllers: Vec<SocketAddrV4>,
}

impl Operator<'_> {
    async fn run(&self, command: ConfigCommand) -> Result<(), CommandError> {
        let base = self.store.base;
        match command {
            ConfigCommand::Check { file } => {
                let document = document_file::read(&file, base)?;
                println!("{}: valid, {} teams", file.display(), document.teams.len());
                Ok(())
            }
            ConfigCommand::Show => {
                print!("{}", show::current(&self.store.current().await?, base));
                Ok(())
            }
            ConfigCommand::Diff { file } => {
                let wanted = document_file::read(&file, base)?;
                let current = self.store.current().await?;
                let next = current.document.successor(wanted, base);
                print!("{}", show::differences(&current.document, &next, base));
                Ok(())
            }
            ConfigCommand::History => {
                print!("{}", show::history(&self.store.current().await?.history));
                Ok(())
            }
            ConfigCommand::Apply {
                file,
                why,
                by,
                wait,
            } => {
                let wanted = document_file::read(&file, base)?;
                let current = self.store.current().await?;
                self.change(current, wanted, author(by, why), wait).await
            }
            ConfigCommand::Rollback {
                version,
                why,
                by,
                wait,
            } => {
                let current = self.store.current().await?;
                let wanted = self.store.kept_document(&current, version).await?;
                self.change(current, wanted, author(by, why), wait).await
            }
        }
    }

    /// Stores a document as the next version. With `wait`, also waits until that version is in force everywhere.
    async fn change(
        &self,
        current: CurrentConfig,
        wanted: Document,
        author: Author,
        wait: bool,
    ) -> Result<(), CommandError> {
        rollout::refuse_unsupported(&self.controllers).await?;
        let VersionRecord { version, .. } = self.store.store(&current, wanted, &author).await?;
        println!("version {version} is stored");
        if wait {
            let elapsed = rollout::wait_until_in_force(&self.controllers, version).await?;
            let seconds = elapsed.as_secs_f64();
            println!("version {version} is in force everywhere after {seconds:.1} s");
        }
        Ok(())
    }
}

/// Returns the author of a change made now: the given name, else the user who runs the command.
fn author(name: Option<String>, reason: String) -> Author {
    let user = || std::env::var("USER").unwrap_or_else(|_| "unknown".into());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Author {
        name: name.unwrap_or_else(user),
        reason,
        changed_at: since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64),
        nonce: rand::random(),
    }
}
