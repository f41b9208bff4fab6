package simulator
import ("testing";"fmt";"sync";"sort";"os";"strconv";"time")
func TestZZ(t *testing.T) {
 n,_ := strconv.Atoi(os.Getenv("ZZ")); if n==0 { t.Skip() }
 res := make([]Result, n); days := make([]Day,n)
 var wg sync.WaitGroup; sem := make(chan bool, 8)
 begun:=time.Now()
 for i := range n { wg.Add(1); go func(){ defer wg.Done(); sem<-true; defer func(){<-sem}()
   days[i]=Deployment(uint64(i+1)); res[i]=Play(days[i], Home) }() }
 wg.Wait()
 var w []float64; sum:=0.0; asked,late,ref,aim,broken,pre,moves:=0,0,0,0,0,0,0
 var waits []time.Duration
 lg,all:=0.0,0.0
 for _,r := range res { w=append(w,r.Worth()); sum+=r.Worth(); asked+=r.Asked; late+=r.Late; ref+=r.Refused; aim+=r.OnTime; broken+=r.Broken; pre+=r.Preempted; moves+=r.Moves; waits=append(waits,r.Refusals...); lg+=r.LargeServed; all+=r.AllServed }
 sort.Float64s(w); sort.Slice(waits,func(i,j int)bool{return waits[i]<waits[j]})
 q:=func(f float64) int64 { if len(waits)==0 {return 0}; return waits[int(f*float64(len(waits)-1))].Milliseconds() }
 fmt.Printf("n %d worth mean %.4f worst tenth %.3f | aim %.4f late %.4f refused %.4f broken %.4f preempted %d moves %d | refusals %d at ms p10 %d p50 %d p90 %d p95 %d max %d | large %.3f all %.3f took %s\n", n, sum/float64(n), w[n/10], float64(aim)/float64(asked), float64(late)/float64(asked), float64(ref)/float64(asked), float64(broken)/float64(asked), pre, moves, len(waits), q(.1),q(.5),q(.9),q(.95),q(1), lg/float64(n), all/float64(n), time.Since(begun))
}
