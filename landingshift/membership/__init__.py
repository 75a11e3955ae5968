"""Who is there: servers that know of each other, where the installation lets them talk."""
