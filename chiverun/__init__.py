"""Global traffic steering driven by numbered change tickets."""

__version__ = "0.1.0"
