use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use tracing::Level;

use gannethub::daemon;
use gannethub::settings::Settings;

/// A controller of the gannethub cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Options {
    /// The platform's settings file
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
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
    let settings = match Settings::load(&options.config) {
        Ok((settings, warnings)) => {
            warnings.iter().for_each(|w| tracing::warn!("{w}"));
            settings
        }
        Err(e) => {
            eprintln!("gannethub: {e}");
            return ExitCode::from(2);
        }
    };
    if options.check {
        println!("{}: fine", options.config.display());
        return ExitCode::SUCCESS;
    }
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!(error = %e, "cannot serve");
            ExitCode::FAILURE
        }
    }
}
