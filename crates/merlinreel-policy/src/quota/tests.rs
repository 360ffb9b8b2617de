mod admission;
mod aggregation;
mod counter;
mod peer_reports;
mod replication;
mod token_bucket;
