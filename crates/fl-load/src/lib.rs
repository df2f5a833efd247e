//! Open-loop load, answer checks, experiments and plots.
