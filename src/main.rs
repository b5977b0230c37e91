use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing::Level;

use gannethub::core::policy::Policy;
use gannethub::core::settings::Settings;
use gannethub::daemon;

/// A controller of the gannethub cluster scheduler.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
struct Options {
    /// The platform's settings file
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// The operators' policy; the built-in one where it says nothing
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Check the settings and the policy and exit
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a policy file and print each setting's result on a sample
    CheckPolicy { file: PathBuf },
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

fn read(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: cannot be read: {e}", file.display()))
}

fn read_policy(file: &Path) -> Result<Policy, String> {
    Policy::parse(&read(file)?).map_err(|e| format!("{}: {e}", file.display()))
}

/// Does what the command line asks; an error is about the files it names.
fn run(options: Options) -> Result<ExitCode, String> {
    if let Some(Command::CheckPolicy { file }) = options.command {
        for (name, result) in read_policy(&file)?.on_sample() {
            println!("{name} = {result}");
        }
        return Ok(ExitCode::SUCCESS);
    }
    let config = options.config.ok_or("--config is missing")?;
    let text = read(&config)?;
    let (mut settings, warnings) =
        Settings::parse(&text, &config.display().to_string()).map_err(|e| e.to_string())?;
    warnings.iter().for_each(|w| tracing::warn!("{w}"));
    if let Some(file) = &options.policy {
        settings.policy = read_policy(file)?;
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
