#include <unistd.h>

#include <cstdio>

#include "wire.hpp"

int main() { return lotuslead::wire::serve(STDIN_FILENO, stdout, stderr); }
