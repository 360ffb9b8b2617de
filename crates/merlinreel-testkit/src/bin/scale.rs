//! The scale measurements as a command: data points as lines of JSON, progress on standard error.

use clap::{Parser, Subcommand};
use merlinreel_testkit::scale::{
    DataPoint, MeasureRequest, Measurement, Point, PowerLaw, ScaleError, measurements, select,
};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Measures the cost of the control work of many limiters, by size.
#[derive(Parser)]
#[command(name = "scale")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Lists all measurements and their default sizes.
    List,
    /// Runs measurements; all of them where no role is named.
    Measure {
        /// A role, as `list` names it.
        #[arg(long)]
        role: Option<String>,
        /// One variable of it.
        #[arg(long)]
        variable: Option<String>,
        /// Sizes in ascending order, in place of the default ones.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<u64>,
        /// The seed that everything is drawn from.
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// How often times are measured at each size.
        #[arg(long, default_value_t = 3)]
        runs: u32,
        /// The most megabytes that one size may take; half of the machine's memory where none is given.
        #[arg(long)]
        memory_mb: Option<u64>,
        /// The file that lines are written to; standard output where none is given.
        #[arg(long)]
        output: Option<PathBuf>,
    },
    /// Fits a power law to each metric of a file of data points.
    Fit {
        /// The file, as `measure` writes it.
        file: PathBuf,
        /// The size to evaluate every law at; its greatest measured one where none is given.
        #[arg(long)]
        at: Option<u64>,
    },
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), ScaleError> {
    match command {
        Command::List => {
            list();
            Ok(())
        }
        Command::Measure {
            role,
            variable,
            sizes,
            seed,
            runs,
            memory_mb,
            output,
        } => {
            let measurements = select(role.as_deref(), variable.as_deref())?;
            let requests = requests(&measurements, &sizes, seed, runs, memory_mb)?;
            let mut lines = writer(output.as_deref())?;
            let output_name = output.unwrap_or_else(|| PathBuf::from("standard output"));
            for (measurement, request) in measurements.iter().zip(&requests) {
                measure(measurement, request, &mut *lines, &output_name)?;
            }
            Ok(())
        }
        Command::Fit { file, at } => fit(&file, at),
    }
}

fn list() {
    for one in measurements() {
        println!("{:14} {:15} {:?}", one.role, one.variable, one.sizes);
    }
}

/// Validates all requests before the first measurement begins.
fn requests(
    measurements: &[Measurement],
    sizes: &[u64],
    seed: u64,
    runs: u32,
    memory_mb: Option<u64>,
) -> Result<Vec<MeasureRequest>, ScaleError> {
    let request = |one: &Measurement| {
        let sizes = if sizes.is_empty() { one.sizes } else { sizes };
        MeasureRequest::new(sizes.to_vec(), seed, runs, memory_mb)
    };
    measurements.iter().map(request).collect()
}

fn writer(output: Option<&Path>) -> Result<Box<dyn Write>, ScaleError> {
    match output {
        None => Ok(Box::new(io::stdout())),
        Some(path) => Ok(Box::new(BufWriter::new(
            File::create(path).map_err(|why| failed(path, why))?,
        ))),
    }
}

fn failed(path: &Path, why: io::Error) -> ScaleError {
    ScaleError::Output {
        path: path.display().to_string(),
        why,
    }
}

fn measure(
    measurement: &Measurement,
    request: &MeasureRequest,
    lines: &mut dyn Write,
    output: &Path,
) -> Result<(), ScaleError> {
    eprintln!(
        "{} by {}: {:?}",
        measurement.role, measurement.variable, request.sizes
    );
    (measurement.run)(request, &mut |data_point: DataPoint| {
        let line = serde_json::to_string(&data_point).map_err(|why| failed(output, why.into()))?;
        writeln!(lines, "{line}")
            .and_then(|()| lines.flush())
            .map_err(|why| failed(output, why))
    })
}

/// The values of one metric by the size of one variable.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Curve {
    role: String,
    variable: String,
    metric: String,
}

fn fit(file: &Path, at: Option<u64>) -> Result<(), ScaleError> {
    let lines = BufReader::new(File::open(file).map_err(|why| failed(file, why))?).lines();
    let mut curves: BTreeMap<Curve, Vec<Point>> = BTreeMap::new();
    for line in lines {
        let line = line.map_err(|why| failed(file, why))?;
        let data_point: serde_json::Value =
            serde_json::from_str(&line).map_err(|why| failed(file, why.into()))?;
        let text = |name: &str| data_point[name].as_str().unwrap_or_default().to_owned();
        let point = Point::new(
            data_point["size"].as_f64().unwrap_or(0.0),
            data_point["value"].as_f64().unwrap_or(0.0),
        );
        curves
            .entry(Curve {
                role: text("role"),
                variable: text("variable"),
                metric: text("metric"),
            })
            .or_default()
            .push(point);
    }
    println!("role variable metric: points, exponent, R2, size, value there");
    for (curve, points) in curves {
        let Curve {
            role,
            variable,
            metric,
        } = curve;
        let greatest = points.iter().map(|point| point.size).fold(0.0, f64::max);
        let size = at.map_or(greatest, |at| at as f64);
        match PowerLaw::through(&points) {
            Ok(law) => println!(
                "{role} {variable} {metric}: {}, {:.2}, {:.3}, {size}, {:.6}",
                points.len(),
                law.exponent,
                law.r_squared,
                law.at(size)
            ),
            Err(why) => println!("{role} {variable} {metric}: no law, {why}"),
        }
    }
    Ok(())
}
