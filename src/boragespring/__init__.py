"""Serving of generations of unknown length on heavily loaded LLM engines."""

__all__ = ["__version__"]

__version__ = "0.1.0"
