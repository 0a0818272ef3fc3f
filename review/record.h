#pragma once

// record.txt: what was sent, answered and run.

#include "loop.h"

#include <cstdarg>
#include <cstdio>
#include <string>

namespace standin {

class Record
{
public:
    explicit Record(const Loop &loop, const std::string &path) : loop(loop), file(fopen(path.c_str(), "we"))
    {
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char message[1024];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(message, sizeof(message), format, arguments);
        va_end(arguments);
        fprintf(this->file, "%7.3f %s\n", static_cast<double>(this->loop.now()) / 1000, message);
        fflush(this->file);
    }

private:
    const Loop &loop;
    FILE *file;
};

} // namespace standin
