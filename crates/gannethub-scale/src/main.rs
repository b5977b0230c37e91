use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc;
use std::time::Duration;

use clap::{Parser, Subcommand};
use gannethub_scale::cloud_role::{self, CloudArgs};
use gannethub_scale::host_role::{self, HostsArgs};
use gannethub_scale::options::RunOptions;
use gannethub_scale::role::run_local;
use gannethub_scale::state_role::{self, StateArgs};
use gannethub_scale::{fit, run};

/// Measures gannethub's controllers at large sizes on this machine.
#[derive(Parser)]
#[command(version, about)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run controllers under the load of many workers, measure, and check the rules
    Run(Box<RunOptions>),
    /// Print slopes and runs as tables from the reports of runs
    Fit {
        #[arg(required = true)]
        reports: Vec<PathBuf>,
    },
    /// A run's stand-in for the state service
    #[command(hide = true)]
    State(StateArgs),
    /// A run's stand-in for the cloud
    #[command(hide = true)]
    Cloud(CloudArgs),
    /// A run's workers
    #[command(hide = true)]
    Hosts(HostsArgs),
    /// A real worker's task: it takes so many microseconds
    #[command(hide = true)]
    Task { micros: u64 },
}

fn main() -> ExitCode {
    let result = match Options::parse().command {
        Command::Run(options) => return measured(&options),
        Command::Fit { reports } => match fit::tables(&reports) {
            Ok(text) => {
                println!("{text}");
                return ExitCode::SUCCESS;
            }
            Err(e) => return failed(&e),
        },
        Command::State(args) => run_local(state_role::run(args)).flatten(),
        Command::Cloud(args) => run_local(cloud_role::run(args)).flatten(),
        Command::Hosts(args) => run_local(host_role::run(args)).flatten(),
        Command::Task { micros } => {
            run_task(Duration::from_micros(micros));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => failed(&e),
    }
}

/// A task takes its time, or ends with its worker, which holds the other end of its standard input.
fn run_task(time: Duration) {
    let (ended, wait) = mpsc::channel();
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        let _ = ended.send(());
    });
    let _ = wait.recv_timeout(time);
}

fn measured(options: &RunOptions) -> ExitCode {
    match run::run(options) {
        Ok(report) => {
            println!("{}", report.show());
            if report.passed() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(e) => failed(&e),
    }
}

fn failed(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("gannethub-scale: {error}");
    ExitCode::from(2)
}
