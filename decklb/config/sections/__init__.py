"""The sections of the operators' XML that the platform's JSON has too, each translated into the JSON's form."""
