//! The `gannethub` program: its command line, its log, and the exit code of each command.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing::Level;

use gannethub::core::settings::Settings;
use gannethub::files::FileError;
use gannethub::{config, daemon, dev, files, ledger};

/// Exit code of a command that cannot use one of its files.
const UNUSABLE_FILES: u8 = 2;
/// Environment variable with the level of the logged events: `error`, `info` or `debug`.
const LOG_LEVEL: &str = "LOG_LEVEL";

/// A controller of the gannethub cluster scheduler.
#[derive(Parser)]
#[command(
    version,
    about,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct Options {
    /// Platform settings file
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// Operator policy file; the built-in policy applies without a file, and to settings that the file does not name
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Keep a ledger, with the ledger settings in this file
    #[arg(long, value_name = "FILE")]
    ledger: Option<PathBuf>,
    /// Check the settings, the policy and the ledger settings, then exit
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a policy file and print the result of each setting on a sample
    CheckPolicy { file: PathBuf },
    /// Run a cluster on loopback: controllers, and emulators of the cloud, the state service and the workers
    Dev(dev::DevArgs),
    /// Read and change the configuration while the service runs
    Config(config::ConfigArgs),
    /// Read, check and export the ledger
    Ledger(ledger::LedgerArgs),
}

fn main() -> ExitCode {
    let options = Options::parse();
    start_logging();
    run(options).unwrap_or_else(|error| {
        eprintln!("gannethub: {error}");
        ExitCode::from(UNUSABLE_FILES)
    })
}

/// Starts logging to standard error, so that programs can parse what commands print to standard output.
fn start_logging() {
    let wanted = std::env::var(LOG_LEVEL).unwrap_or_else(|_| "info".into());
    let level = match wanted.as_str() {
        "error" => Some(Level::ERROR),
        "info" => Some(Level::INFO),
        "debug" => Some(Level::DEBUG),
        _ => None,
    };
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(Level::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .init();
    if level.is_none() {
        tracing::warn!(LOG_LEVEL = wanted, "unknown log level; using info");
    }
}

/// Runs the command that the command line selects. Errors concern the files that the command line names.
fn run(mut options: Options) -> Result<ExitCode, FileError> {
    match options.command.take() {
        None => run_controller(&options),
        Some(Command::CheckPolicy { file }) => check_policy(&file),
        Some(Command::Dev(args)) => Ok(exit_code("dev", dev::run(&args), |_| ExitCode::FAILURE)),
        Some(Command::Config(args)) => Ok(exit_code("config", config::run(args), |_| {
            ExitCode::FAILURE
        })),
        Some(Command::Ledger(args)) => Ok(exit_code("ledger", ledger::run(args), |error| {
            ExitCode::from(error.exit_code())
        })),
    }
}

/// Prints the error of a failed command and returns the command's exit code.
fn exit_code<E: Display>(
    command: &str,
    result: Result<(), E>,
    failure: impl FnOnce(&E) -> ExitCode,
) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("gannethub {command}: {error}");
    failure(&error)
}

fn check_policy(file: &Path) -> Result<ExitCode, FileError> {
    for (name, result) in files::read_policy(file)?.evaluate_sample() {
        println!("{name} = {result}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a controller until the process is killed; with `--check`, only checks the controller's files.
fn run_controller(options: &Options) -> Result<ExitCode, FileError> {
    // The argument parser rejects a command line without a settings file, so the empty path is never used.
    let config = options.config.as_deref().unwrap_or(Path::new(""));
    let settings = read_settings(config, options)?;
    if options.check {
        println!("{}: valid", config.display());
        return Ok(ExitCode::SUCCESS);
    }
    let Err(error) = daemon::run(settings) else {
        return Ok(ExitCode::SUCCESS);
    };
    tracing::error!(%error, "cannot run the controller");
    Ok(ExitCode::FAILURE)
}

/// Reads the settings, and the policy and the ledger settings if the command line names files for them.
fn read_settings(config: &Path, options: &Options) -> Result<Settings, FileError> {
    let (mut settings, warnings) = files::read_settings(config)?;
    for warning in warnings {
        tracing::warn!("{warning}");
    }
    if let Some(file) = &options.policy {
        settings.policy = files::read_policy(file)?;
    }
    if let Some(file) = &options.ledger {
        settings.ledger = Some(files::read_ledger_setup(file, &settings)?);
    }
    Ok(settings)
}
