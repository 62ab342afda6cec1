//! The program `havengrade-dev`.

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use havengrade_dev::{
    demo::{self, DemoOptions},
    load::{self, LoadOptions},
    scenario::{EVENTS, OPERATOR, OPERATOR_KEY, key_of},
};
use havengrade_router::{logging, metrics, settings::LoggingSettings};

/// Stand-ins for the platform and a whole deployment in one process.
#[derive(Debug, Parser)]
#[command(name = "havengrade-dev", version)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run sample traffic through a deployment and print what happened.
    Demo {
        /// End after the traffic instead of staying up; exit code 1 unless all went well.
        #[arg(long)]
        once: bool,
        /// How to print the result.
        #[arg(long, value_enum, default_value_t = Format::Table)]
        format: Format,
        /// Number of routers.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=16))]
        routers: u8,
        /// Number of requests.
        #[arg(long, default_value_t = 200)]
        requests: usize,
        /// First of about 550 ports on loopback that are used.
        #[arg(long, default_value_t = 21000, value_parser = clap::value_parser!(u16).range(1024..=65000))]
        port_base: u16,
    },
    /// Compare requests through one router with direct calls, on loopback, and print JSON.
    Load {
        /// Requests of each kind.
        #[arg(long, default_value_t = 2000, value_parser = clap::value_parser!(u32).range(10..=200_000))]
        requests: u32,
        /// Requests in progress at once.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=512))]
        at_once: u16,
        /// First of about 550 ports on loopback that are used.
        #[arg(long, default_value_t = 23000, value_parser = clap::value_parser!(u16).range(1024..=65000))]
        port_base: u16,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    Table,
    Json,
}

#[tokio::main]
async fn main() -> ExitCode {
    logging::init(&LoggingSettings { level: "warn".into(), ..LoggingSettings::default() }, "demo");
    metrics::install();
    match Options::parse().command {
        Command::Demo { once, format, routers, requests, port_base } => {
            run_demo(DemoOptions { routers, requests, port_base }, once, format).await
        },
        Command::Load { requests, at_once, port_base } => {
            run_load(&LoadOptions { requests: requests as usize, at_once: at_once.into(), port_base }).await
        },
    }
}

async fn run_load(options: &LoadOptions) -> ExitCode {
    match load::run(options).await {
        Ok(report) => {
            println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
            ExitCode::SUCCESS
        },
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        },
    }
}

async fn run_demo(options: DemoOptions, once: bool, format: Format) -> ExitCode {
    let fleet = match demo::start(&options).await {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        },
    };
    let report = demo::run(&fleet, &options).await;
    match format {
        Format::Table => print_table(&report),
        Format::Json => println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default()),
    }
    if once {
        return if report.passed { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    print_invitation(&options);
    // The stand-ins and routers run until the process is interrupted.
    std::future::pending().await
}

fn print_table(report: &demo::DemoReport) {
    println!("{}", demo::table(report));
    println!();
    report.faults.iter().for_each(|fault| println!("fault: {fault}"));
    let verdict = if report.passed { "every request has one whole answer and one bill" } else { "FAILED" };
    println!("{verdict} ({} ms)", report.elapsed_ms);
}

fn print_invitation(options: &DemoOptions) {
    let callers = demo::router_address(options, 0);
    println!("\nThe deployment stays up; try it:\n");
    println!("  curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {}' \\", key_of("harvest"));
    println!(
        "    -H 'X-Havengrade-Class: lot-question' -d '{{\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Which lot is ripe?\"}}]}}'"
    );
    println!("\n  curl http://{callers}/v1/services/{EVENTS} -H 'Authorization: Bearer {}' \\", key_of("gate"));
    println!("    -H 'X-Havengrade-Class: check-in' -H 'Idempotency-Key: ticket-1' -d '{{\"ticket\":1}}'");
    let mut operators = callers;
    operators.set_port(callers.port() + 1);
    println!("\n  HAVENGRADE_KEY={OPERATOR_KEY} havengradectl --vm {operators} --operator {OPERATOR} status");
    println!("\nEnd it with Ctrl-C.");
}
