/* Makes chosen system calls of the process that loads it (LD_PRELOAD) fail, come short or come late.
 *
 * DECKLB_FAULTS names a file of `struct control`, mapped and shared with whoever injects (interposer.py). A rule matches
 * a call by its number, and where `port` is not 0 by the local or the remote port of its socket. Only the C library's
 * wrappers are replaced; the calls themselves are made by the C library's own.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { RULES = 16 };

/* The order is that of interposer.py's CALLS. */
enum call { ACCEPT4, CONNECT, SOCKET, BIND, GETSOCKOPT, SETSOCKOPT, RECV, RECVFROM, SEND, SENDTO, WRITEV, EPOLL_WAIT,
            EPOLL_CTL, READ, WRITE, PWRITE, PWRITEV, FSYNC, FDATASYNC, MSYNC, FTRUNCATE };

struct rule {
    int32_t active, call;
    int32_t error;      /* errno to fail with; 0: make the call */
    int32_t port;       /* only sockets with this port at either end; 0: any descriptor */
    int64_t skip;       /* matching calls to let pass first */
    int64_t count;      /* matching calls to strike after that */
    int32_t most;       /* bytes that the call may move; 0: as many as it likes */
    int32_t delay_us;   /* how late the call is made */
    int64_t seen, hits; /* written here */
};

struct control {
    int64_t wall_offset_ns; /* added to the wall clock */
    struct rule rules[RULES];
};

static struct control *control;

static void __attribute__((constructor)) load(void)
{
    const char *path = getenv("DECKLB_FAULTS");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *at = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (at != MAP_FAILED)
        control = at;
}

static int port_of(const struct sockaddr_storage *address)
{
    return address->ss_family == AF_INET ? ntohs(((const struct sockaddr_in *)address)->sin_port) : 0;
}

static int has_port(int fd, int port, const struct sockaddr *target)
{
    struct sockaddr_storage address;
    socklen_t size = sizeof address;
    if (target && target->sa_family == AF_INET && ntohs(((const struct sockaddr_in *)target)->sin_port) == port)
        return 1;
    if (getsockname(fd, (struct sockaddr *)&address, &size) == 0 && port_of(&address) == port)
        return 1;
    size = sizeof address;
    return getpeername(fd, (struct sockaddr *)&address, &size) == 0 && port_of(&address) == port;
}

/* Returns 1 if the call has to fail, with errno set. Bounds *size where a rule says so, and sleeps where one does. */
static int strike(enum call call, int fd, const struct sockaddr *target, size_t *size)
{
    int kept = errno;
    for (int i = 0; control && i < RULES; i++) {
        struct rule *rule = &control->rules[i];
        if (!rule->active || rule->call != (int)call)
            continue;
        if (rule->port && !has_port(fd, rule->port, target))
            continue;
        int64_t number = __atomic_fetch_add(&rule->seen, 1, __ATOMIC_SEQ_CST);
        if (number < rule->skip || number >= rule->skip + rule->count)
            continue;
        __atomic_fetch_add(&rule->hits, 1, __ATOMIC_SEQ_CST);
        if (rule->delay_us)
            usleep(rule->delay_us);
        if (rule->most && size && *size > (size_t)rule->most)
            *size = rule->most;
        if (rule->error) {
            errno = rule->error;
            return 1;
        }
    }
    errno = kept;
    return 0;
}

#define NEXT(name) \
    static __typeof__(name) *next; \
    if (!next) \
        next = (__typeof__(next))dlsym(RTLD_NEXT, #name)

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    NEXT(accept4);
    return strike(ACCEPT4, fd, NULL, NULL) ? -1 : next(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    NEXT(connect);
    return strike(CONNECT, fd, address, NULL) ? -1 : next(fd, address, length);
}

int socket(int domain, int type, int protocol)
{
    NEXT(socket);
    return domain == AF_INET && strike(SOCKET, -1, NULL, NULL) ? -1 : next(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length)
{
    NEXT(bind);
    return strike(BIND, fd, address, NULL) ? -1 : next(fd, address, length);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *length)
{
    NEXT(getsockopt);
    return strike(GETSOCKOPT, fd, NULL, NULL) ? -1 : next(fd, level, name, value, length);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length)
{
    NEXT(setsockopt);
    return strike(SETSOCKOPT, fd, NULL, NULL) ? -1 : next(fd, level, name, value, length);
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    NEXT(recv);
    return strike(RECV, fd, NULL, &size) ? -1 : next(fd, data, size, flags);
}

ssize_t recvfrom(int fd, void *data, size_t size, int flags, struct sockaddr *address, socklen_t *length)
{
    NEXT(recvfrom);
    return strike(RECVFROM, fd, NULL, &size) ? -1 : next(fd, data, size, flags, address, length);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    NEXT(send);
    return strike(SEND, fd, NULL, &size) ? -1 : next(fd, data, size, flags);
}

ssize_t sendto(int fd, const void *data, size_t size, int flags, const struct sockaddr *address, socklen_t length)
{
    NEXT(sendto);
    return strike(SENDTO, fd, address, &size) ? -1 : next(fd, data, size, flags, address, length);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    NEXT(writev);
    return strike(WRITEV, fd, NULL, NULL) ? -1 : next(fd, parts, count);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    NEXT(epoll_wait);
    return strike(EPOLL_WAIT, fd, NULL, NULL) ? -1 : next(fd, events, most, timeout);
}

int epoll_ctl(int fd, int what, int target, struct epoll_event *event)
{
    NEXT(epoll_ctl);
    return strike(EPOLL_CTL, target, NULL, NULL) ? -1 : next(fd, what, target, event);
}

ssize_t read(int fd, void *data, size_t size)
{
    NEXT(read);
    return strike(READ, fd, NULL, &size) ? -1 : next(fd, data, size);
}

ssize_t write(int fd, const void *data, size_t size)
{
    NEXT(write);
    return strike(WRITE, fd, NULL, &size) ? -1 : next(fd, data, size);
}

ssize_t pwrite(int fd, const void *data, size_t size, off_t at)
{
    NEXT(pwrite);
    return strike(PWRITE, fd, NULL, &size) ? -1 : next(fd, data, size, at);
}

ssize_t pwritev(int fd, const struct iovec *parts, int count, off_t at)
{
    NEXT(pwritev);
    return strike(PWRITEV, fd, NULL, NULL) ? -1 : next(fd, parts, count, at);
}

int fsync(int fd)
{
    NEXT(fsync);
    return strike(FSYNC, fd, NULL, NULL) ? -1 : next(fd);
}

int fdatasync(int fd)
{
    NEXT(fdatasync);
    return strike(FDATASYNC, fd, NULL, NULL) ? -1 : next(fd);
}

int msync(void *at, size_t size, int flags)
{
    NEXT(msync);
    return strike(MSYNC, -1, NULL, NULL) ? -1 : next(at, size, flags);
}

int ftruncate(int fd, off_t size)
{
    NEXT(ftruncate);
    return strike(FTRUNCATE, fd, NULL, NULL) ? -1 : next(fd, size);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    NEXT(clock_gettime);
    int result = next(clock, now);
    if (result == 0 && control && clock == CLOCK_REALTIME && control->wall_offset_ns) {
        int64_t at = now->tv_sec * 1000000000LL + now->tv_nsec + control->wall_offset_ns;
        now->tv_sec = at / 1000000000LL;
        now->tv_nsec = at % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    struct timespec at;
    int result = clock_gettime(CLOCK_REALTIME, &at);
    (void)zone;
    now->tv_sec = at.tv_sec;
    now->tv_usec = at.tv_nsec / 1000;
    return result;
}

time_t time(time_t *result)
{
    struct timespec at;
    clock_gettime(CLOCK_REALTIME, &at);
    if (result)
        *result = at.tv_sec;
    return at.tv_sec;
}

/* Programs with 64-bit file offsets call these names. */
ssize_t pwrite64(int, const void *, size_t, off64_t) __attribute__((alias("pwrite")));
ssize_t pwritev64(int, const struct iovec *, int, off64_t) __attribute__((alias("pwritev")));
int ftruncate64(int, off64_t) __attribute__((alias("ftruncate")));
