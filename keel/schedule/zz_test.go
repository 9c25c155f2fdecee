package schedule
import ("testing";"os";"math/rand/v2";"samphirekeel.example/keel/event")
func TestZZ(t *testing.T){ withRestartingWorkers(t, func(b *testbed){ b.log=event.New(os.Stdout,true); b.drawBoots(rand.New(rand.NewPCG(13,12)))})}
