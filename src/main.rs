use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing::Level;

use gannethub::{config, daemon, dev, files, ledger};

/// A controller of the gannethub cluster scheduler.
#[derive(Parser)]
#[command(
    version,
    about,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct Options {
    /// The platform's settings file
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// The operators' policy; the built-in one where it says nothing
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Keep a ledger as this file says
    #[arg(long, value_name = "FILE")]
    ledger: Option<PathBuf>,
    /// Check the settings, the policy and the ledger's settings and exit
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a policy file and print each setting's result on a sample
    CheckPolicy { file: PathBuf },
    /// Run a cluster on loopback: stand-ins of cloud, state service and workers, and controllers
    Dev(dev::DevArgs),
    /// Read and change the configuration while the service runs
    Config(config::ConfigArgs),
    /// Read, check and export the ledger
    Ledger(ledger::LedgerArgs),
}

fn main() -> ExitCode {
    let options = Options::parse();
    start_logging();
    match run(options) {
        Ok(code) => code,
        Err(reason) => {
            eprintln!("gannethub: {reason}");
            ExitCode::from(2)
        }
    }
}

fn start_logging() {
    let wanted = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
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
        tracing::warn!(LOG_LEVEL = wanted, "unknown level; using info");
    }
}

/// Does what the command line asks; an error is about the files it names.
fn run(options: Options) -> Result<ExitCode, files::FileError> {
    match options.command {
        Some(Command::CheckPolicy { file }) => {
            for (name, result) in files::policy(&file)?.on_sample() {
                println!("{name} = {result}");
            }
            return Ok(ExitCode::SUCCESS);
        }
        Some(Command::Dev(args)) => {
            return Ok(match dev::run(&args) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("gannethub dev: {e}");
                    ExitCode::FAILURE
                }
            });
        }
        Some(Command::Config(args)) => {
            return Ok(match config::run(args) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("gannethub config: {e}");
                    ExitCode::FAILURE
                }
            });
        }
        Some(Command::Ledger(args)) => {
            return Ok(match ledger::run(args) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("gannethub ledger: {e}");
                    ExitCode::from(e.code())
                }
            });
        }
        None => {}
    }
    // The command line has been checked for it.
    let config = options.config.unwrap_or_default();
    let (mut settings, warnings) = files::settings(&config)?;
    warnings.iter().for_each(|w| tracing::warn!("{w}"));
    if let Some(file) = &options.policy {
        settings.policy = files::policy(file)?;
    }
    if let Some(file) = &options.ledger {
        settings.ledger = Some(files::ledger(file, &settings)?);
    }
    if options.check {
        println!("{}: fine", config.display());
        return Ok(ExitCode::SUCCESS);
    }
    Ok(match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!(error = %e, "cannot serve");
            ExitCode::FAILURE
        }
    })
}
