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
    /// Print tables of fitted slopes and of runs from the reports of several runs
    Fit {
        #[arg(required = true)]
        reports: Vec<PathBuf>,
    },
    /// Emulate the state service of a run
    #[command(hide = true)]
    State(StateArgs),
    /// Emulate the cloud of a run
    #[command(hide = true)]
    Cloud(CloudArgs),
    /// Run workers of a run
    #[command(hide = true)]
    Hosts(HostsArgs),
    /// Run a task of a real worker for a number of microseconds
    #[command(hide = true)]
    Task { micros: u64 },
}

fn main() -> ExitCode {
    let result = match Options::parse().command {
        Command::Run(options) => return run_and_report(&options),
        Command::Fit { reports } => match fit::tables(&reports) {
            Ok(text) => {
                println!("{text}");
                return ExitCode::SUCCESS;
            }
            Err(e) => return report_error(&e),
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
        Err(e) => report_error(&e),
    }
}

/// Runs a task of a real worker: returns after `time`, or earlier if the worker ends. The worker holds the other end
/// of the task's standard input, which is closed when the worker ends.
fn run_task(time: Duration) {
    let (input_closed, closed) = mpsc::channel();
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        let _ = input_closed.send(());
    });
    let _ = closed.recv_timeout(time);
}

fn run_and_report(options: &RunOptions) -> ExitCode {
    match run::run(options) {
        Ok(report) => {
            println!("{}", report.summary_text());
            if report.passed() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(e) => report_error(&e),
    }
}

fn report_error(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("gannethub-scale: {error}");
    ExitCode::from(2)
}
