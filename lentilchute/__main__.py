"""Entry point of ``python -m lentilchute``."""

from .ui import main

if __name__ == "__main__":
    main()
