//! Command that runs the scale measurements and fits power laws to their results. Data points are written as lines of
//! JSON, progress to standard error.

use clap::{Parser, Subcommand};
use merlinreel_testkit::scale::{
    DataPoint, MeasureRequest, Measurement, Point, PowerLaw, ScaleError, measurements, select,
};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Measures how the cost of the limiters' control work grows with the size of a deployment.
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
    /// Runs the selected measurements, by default all of them.
    Measure {
        /// Runs only the measurements of this role, as printed by `list`.
        #[arg(long)]
        role: Option<String>,
        /// Runs only the measurements of this variable, as printed by `list`.
        #[arg(long)]
        variable: Option<String>,
        /// Sizes in ascending order, separated by commas; by default those printed by `list`.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<u64>,
        /// Seed of all random number generators.
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// Number of runs in which processor times and latencies are measured at each size.
        #[arg(long, default_value_t = 3)]
        runs: u32,
        /// Maximum memory of one size in megabytes; by default half of the machine's memory.
        #[arg(long)]
        memory_mb: Option<u64>,
        /// File to write the data points to, replaced if it exists; by default standard output.
        #[arg(long)]
        output: Option<PathBuf>,
    },
    /// Fits a power law to each metric in a file of data points.
    Fit {
        /// File of data points, as written by `measure`.
        file: PathBuf,
        /// Size at which to evaluate each law; by default the largest measured size of the metric.
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
            let mut lines = open_output(output.as_deref())?;
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
    for measurement in measurements() {
        println!(
            "{:14} {:15} {:?}",
            measurement.role, measurement.variable, measurement.sizes
        );
    }
}

/// Creates the requests of all measurements, so that they are all validated before the first measurement begins.
fn requests(
    measurements: &[Measurement],
    sizes: &[u64],
    seed: u64,
    runs: u32,
    memory_mb: Option<u64>,
) -> Result<Vec<MeasureRequest>, ScaleError> {
    let request = |measurement: &Measurement| {
        let sizes = if sizes.is_empty() {
            measurement.sizes
        } else {
            sizes
        };
        MeasureRequest::new(sizes.to_vec(), seed, runs, memory_mb)
    };
    measurements.iter().map(request).collect()
}

fn open_output(output: Option<&Path>) -> Result<Box<dyn Write>, ScaleError> {
    match output {
        None => Ok(Box::new(io::stdout())),
        Some(path) => Ok(Box::new(BufWriter::new(
            File::create(path).map_err(|error| file_error(path, error))?,
        ))),
    }
}

fn file_error(path: &Path, error: io::Error) -> ScaleError {
    ScaleError::File {
        path: path.display().to_string(),
        error,
    }
}

fn measure(
    measurement: &Measurement,
    request: &MeasureRequest,
    lines: &mut dyn Write,
    output: &Path,
) -> Result<(), ScaleError> {
    eprintln!(
        "scale: measuring {} by {} at sizes {:?}",
        measurement.role, measurement.variable, request.sizes
    );
    (measurement.run)(request, &mut |data_point: DataPoint| {
        let line =
            serde_json::to_string(&data_point).map_err(|error| file_error(output, error.into()))?;
        writeln!(lines, "{line}")
            .and_then(|()| lines.flush())
            .map_err(|error| file_error(output, error))
    })
}

/// Identifies the values of one metric at all sizes of one variable.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Curve {
    role: String,
    variable: String,
    metric: String,
}

fn fit(file: &Path, at: Option<u64>) -> Result<(), ScaleError> {
    let lines = BufReader::new(File::open(file).map_err(|error| file_error(file, error))?).lines();
    let mut curves: BTreeMap<Curve, Vec<Point>> = BTreeMap::new();
    for line in lines {
        let line = line.map_err(|error| file_error(file, error))?;
        let data_point: serde_json::Value =
            serde_json::from_str(&line).map_err(|error| file_error(file, error.into()))?;
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
    println!("role variable metric: points, exponent, R2, size, value at that size");
    for (curve, points) in curves {
        let Curve {
            role,
            variable,
            metric,
        } = curve;
        let largest = points.iter().map(|point| point.size).fold(0.0, f64::max);
        let size = at.map_or(largest, |at| at as f64);
        match PowerLaw::fit(&points) {
            Ok(law) => println!(
                "{role} {variable} {metric}: {}, {:.2}, {:.3}, {size}, {:.6}",
                points.len(),
                law.exponent,
                law.r_squared,
                law.value_at(size)
            ),
            Err(error) => println!("{role} {variable} {metric}: no power law: {error}"),
        }
    }
    Ok(())
}
